/**
 * Decides whether a change read from a restored store is overruled by what this
 * process knows from the store's former era. The copy may list an endpoint that
 * has left, and may lack an evacuation or an endpoint. The former knowledge
 * then holds until the operator or the endpoint writes again, or for a limited
 * time, after which the store is believed.
 *
 * Configurations and versions of weights are not handled here: they are ordered
 * by their own versions in every era.
 */

import type { DirectoryChange, EndpointRecord } from "./records.ts";

/**
 * The operator and the endpoints write again within about two seconds. An
 * endpoint that is still missing then is gone.
 */
const REWRITE_MS = 2_000;
/**
 * The store drops an endpoint that has left after three missed heartbeats of
 * 1.2 s. An evacuation that the store lacks is kept for as long, because using
 * an evacuated data centre is worse than sparing it.
 */
const LISTING_HOLD_MS = REWRITE_MS + 4_000;

export interface FormerKnowledge {
  /** In force, from an earlier era than the change. */
  readonly held: DirectoryChange;
  /** Last record of the endpoint, if `held` is its removal. */
  readonly formerRecord: EndpointRecord | undefined;
  /** Revision of the last evacuation that a later change replaced. */
  readonly replacedRevision: number | undefined;
  /**
   * Revision at which the change's era was first read. Everything after it has
   * been written in that era.
   */
  readonly copyRevision: number;
}

/** Time for which `held` stays in force; 0 if the change is to be applied. */
export function computeHoldMs(
  change: DirectoryChange,
  knowledge: FormerKnowledge,
): number {
  const { held, copyRevision } = knowledge;
  if (change.revision > copyRevision) return 0;
  if (change.type === "endpoint" && held.type === "endpoint") {
    return computeEndpointHoldMs(change, held, knowledge);
  }
  if (change.type === "evacuation" && held.type === "evacuation") {
    if (change.isOut === held.isOut) return 0;
    if (held.isOut) return LISTING_HOLD_MS;
    // Only an evacuation that is known to have been taken back is overruled:
    // any other one may have been written since the store's return.
    return change.revision === knowledge.replacedRevision ? REWRITE_MS : 0;
  }
  return 0;
}

type EndpointChange = Extract<DirectoryChange, { type: "endpoint" }>;

function computeEndpointHoldMs(
  { revision, endpoint }: EndpointChange,
  held: EndpointChange,
  { formerRecord }: FormerKnowledge,
): number {
  if (endpoint === undefined) {
    return held.endpoint === undefined ? 0 : REWRITE_MS;
  }
  const known = held.endpoint ?? formerRecord;
  if (hasTakenBackNotice(endpoint, known)) return LISTING_HOLD_MS;
  // Its revision may be of an era before the removal. If the endpoint is back
  // it writes again.
  const hasLeft = held.endpoint === undefined;
  if (hasLeft && isSameIncarnation(endpoint, known)) return LISTING_HOLD_MS;
  if (revision >= held.revision || isLaterIncarnation(endpoint, known)) {
    return 0;
  }
  // An endpoint leaves once, so the notice is true in whichever era it came.
  const isLeaving = endpoint.isDraining && held.endpoint !== undefined;
  return isLeaving ? 0 : LISTING_HOLD_MS;
}

/**
 * An endpoint never takes back the notice that it leaves, so such a record is
 * older, also at a higher revision: the copy may be of an earlier era than the
 * notice.
 */
function hasTakenBackNotice(
  endpoint: EndpointRecord,
  known: EndpointRecord | undefined,
): boolean {
  return (
    known?.isDraining === true &&
    !endpoint.isDraining &&
    isSameIncarnation(endpoint, known)
  );
}

function isSameIncarnation(
  endpoint: EndpointRecord,
  known: EndpointRecord | undefined,
): boolean {
  return (
    endpoint.startedAtMs !== undefined &&
    endpoint.startedAtMs === known?.startedAtMs
  );
}

function isLaterIncarnation(
  endpoint: EndpointRecord,
  known: EndpointRecord | undefined,
): boolean {
  return (
    endpoint.startedAtMs !== undefined &&
    known?.startedAtMs !== undefined &&
    endpoint.startedAtMs > known.startedAtMs
  );
}
