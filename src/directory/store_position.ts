/**
 * A position in the history of the platform's store. A store that comes back
 * from an older copy begins a new era and gives out its revisions again, so a
 * revision alone identifies and orders nothing.
 */

export interface StorePosition {
  /** Absent at a store without eras, which counts as era 0. */
  readonly era?: number | undefined;
  readonly revision: number;
}

/** Negative if `a` is before `b`, 0 if they are the same. */
export function comparePositions(a: StorePosition, b: StorePosition): number {
  return readEra(a) - readEra(b) || a.revision - b.revision;
}

export function isSameEra(a: StorePosition, b: StorePosition): boolean {
  return readEra(a) === readEra(b);
}

/** True if the position belongs to an earlier era than `other`. */
export function isOfFormerEra(
  position: StorePosition,
  other: StorePosition,
): boolean {
  return readEra(position) < readEra(other);
}

export function readEra({ era }: StorePosition): number {
  return era ?? 0;
}

/** Copies the position out of an object that has other fields as well. */
export function pickPosition({ era, revision }: StorePosition): StorePosition {
  return era === undefined ? { revision } : { era, revision };
}
