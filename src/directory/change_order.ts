/** The order of changes to an item, and what a complete state removes. */

import type { DirectoryChange } from "./records.ts";
import { comparePositions, isOfFormerEra } from "./store_position.ts";
import type { StorePosition } from "./store_position.ts";

/** Before all revisions that the store gives out. */
const INFERRED_REVISION = 0;

export function keyOf(change: DirectoryChange): string {
  switch (change.type) {
    case "config":
      return "config";
    case "endpoint":
      return `endpoint ${change.id}`;
    case "evacuation":
      return `evacuation ${change.dataCentre}`;
    case "weights":
      return `weights ${change.model}`;
  }
}

/** True for what is ordered by its own version in every era of the store. */
export function hasOwnOrder(change: DirectoryChange): boolean {
  return change.type === "config" || change.type === "weights";
}

/**
 * Leaves out items of the current era that were there when a peer read the
 * store, but no longer at a later complete read of this process, with what the
 * peer knows of them from a former era.
 */
export function dropRemovedSince(
  changes: readonly DirectoryChange[],
  completeSince: StorePosition,
): readonly DirectoryChange[] {
  const earlier = changes.filter(
    (change) =>
      !hasOwnOrder(change) && comparePositions(change, completeSince) <= 0,
  );
  const removedKeys = new Set(
    earlier
      .filter((change) => !isRemoval(change))
      .filter((change) => !isOfFormerEra(change, completeSince))
      .map(keyOf),
  );
  const removed = earlier.filter((change) => removedKeys.has(keyOf(change)));
  return changes.filter((change) => !removed.includes(change));
}

function isRemoval(change: DirectoryChange): boolean {
  return (
    (change.type === "endpoint" && change.endpoint === undefined) ||
    (change.type === "evacuation" && !change.isOut)
  );
}

/** True if `known` is at least as late as `change`. */
export function isOutdated(
  change: DirectoryChange,
  known: DirectoryChange,
): boolean {
  if (change.type === "weights" && known.type === "weights") {
    if (change.version === undefined) return true;
    const aheadBy = (known.version ?? -1) - change.version;
    if (aheadBy !== 0) return aheadBy > 0;
  }
  // A known removal tells when the item was removed; this one does not.
  if (isInferredRemoval(change) && isRemoval(known)) return true;
  return comparePositions(known, change) >= 0;
}

/** True if the removal was inferred from what a restored store lacks. */
function isInferredRemoval(change: DirectoryChange): boolean {
  return isRemoval(change) && change.revision === INFERRED_REVISION;
}

/** Returns the change that reverts `change`; endpoints and evacuations only. */
function createRemoval(
  change: DirectoryChange,
  { era, revision }: StorePosition,
): DirectoryChange {
  switch (change.type) {
    case "endpoint":
      return { ...change, era, revision, endpoint: undefined };
    case "evacuation":
      return { ...change, era, revision, isOut: false };
    default:
      return change;
  }
}

export interface CompleteState {
  /** What this process knows, by item. */
  readonly held: readonly DirectoryChange[];
  /** Changes of the current era that are not in force yet. */
  readonly deferred: readonly DirectoryChange[];
  readonly changes: readonly DirectoryChange[];
  readonly upTo: StorePosition;
}

/**
 * Removals of what a complete state lacks. What a restored store lacks since
 * its return was not removed by a write, so such a removal is before all
 * revisions of the era.
 */
export function listRemovals({
  held,
  deferred,
  changes,
  upTo,
}: CompleteState): readonly DirectoryChange[] {
  // A peer's state also holds removals, and what it knows of a former era
  // before what the store holds instead.
  const lastChanges = new Map(changes.map((item) => [keyOf(item), item]));
  const present = new Set(
    [...lastChanges.values()].filter((item) => !isRemoval(item)).map(keyOf),
  );
  const missing = new Set(deferred.filter(isRemoval).map(keyOf));
  return [...held, ...deferred]
    .filter((known) => !isRemoval(known) && !hasOwnOrder(known))
    .filter((known) => !present.has(keyOf(known)))
    .filter((known) => !missing.has(keyOf(known)))
    .filter((known) => comparePositions(known, upTo) <= 0)
    .map((known) =>
      createRemoval(
        known,
        isOfFormerEra(known, upTo)
          ? { ...upTo, revision: INFERRED_REVISION }
          : upTo,
      ),
    );
}

export interface KnownConfig {
  readonly held: DirectoryChange | undefined;
  /** At which the held version is known from any era. */
  readonly revisions: ReadonlySet<number>;
}

/**
 * True if the configuration was written in its era, which was first read at
 * `copyRevision`: a copy holds each version at a revision that it had before,
 * not necessarily in the last era.
 */
export function isRewritten(
  change: Extract<DirectoryChange, { type: "config" }>,
  { held, revisions }: KnownConfig,
  copyRevision: number,
): boolean {
  if (held?.type !== "config") return false;
  if (change.revision > copyRevision) return true;
  if (!isOfFormerEra(held, change)) return false;
  return change.config.version === held.config.version
    ? !revisions.has(change.revision)
    : change.config.version > held.config.version &&
        change.revision < held.revision;
}
