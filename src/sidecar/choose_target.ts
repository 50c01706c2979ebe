/**
 * Chooses the version that an endpoint fetches next and the time at which it
 * may switch. When several versions are published shortly after each other, a
 * nearly complete older one is still useful: the newest may arrive only after
 * requests may no longer use the served one.
 */

import type { TargetVersion } from "./fleet_state.ts";

export interface TargetProgress {
  readonly target: TargetVersion;
  readonly heldShare: number;
  /** True if no chunk has arrived recently. */
  readonly isStalled: boolean;
}

export interface TargetChoice {
  /** The version to fetch, or to keep available for other agents. */
  readonly toFetch: TargetVersion | undefined;
  /** The version to switch to once the endpoint's group may switch. */
  readonly toLoad: TargetVersion | undefined;
}

/**
 * `candidates` are the wanted versions, oldest first. A partly fetched one is
 * completed before a newer one is started: the origin may fail before it has
 * sent the newer one, and requests may not continue to use the served one.
 */
export function chooseTargets(
  candidates: readonly TargetProgress[],
  servedVersion: number | undefined,
): TargetChoice {
  const newer = candidates.filter(
    ({ target }) =>
      servedVersion === undefined || target.version > servedVersion,
  );
  const complete = newer.filter(({ heldShare }) => heldShare >= 1).at(-1);
  const incomplete = newer.filter(
    ({ heldShare, target }) =>
      heldShare < 1 && target.version > (complete?.target.version ?? 0),
  );
  const partial = incomplete.find(
    ({ heldShare, isStalled }) => heldShare > 0 && !isStalled,
  );
  const chosen = partial ?? incomplete.at(-1) ?? candidates.at(-1);
  return { toFetch: chosen?.target, toLoad: complete?.target };
}

export interface SwitchGroupOptions {
  /** Hosts of all agents whose endpoints run the model, including this one. */
  readonly members: readonly string[];
  readonly ownHost: string;
  /** Longest time that a version may be served after the next is published. */
  readonly switchWithinMs: number;
}

/** Endpoints switch in this many groups, so that most of them keep serving. */
const GROUP_COUNT = 3;
/**
 * The last group stops accepting requests shortly before entries stop sending
 * them; requests in progress may finish later.
 */
const LAST_GROUP_SHARE = 0.9;
/** No group starts before most endpoints can have the complete new version. */
const FIRST_GROUP_SHARE = 0.55;

/** Time after publication at which this endpoint may begin to switch. */
export function computeSwitchDelayMs(options: SwitchGroupOptions): number {
  const { members, ownHost, switchWithinMs } = options;
  const sortedHosts = [...members].sort();
  const group = Math.max(0, sortedHosts.indexOf(ownHost)) % GROUP_COUNT;
  const share =
    FIRST_GROUP_SHARE +
    ((LAST_GROUP_SHARE - FIRST_GROUP_SHARE) * group) / (GROUP_COUNT - 1);
  return switchWithinMs * share;
}
