/**
 * The position up to which this process knows the store, and what a new era
 * means for it. A store that comes back from an older copy may lack changes
 * that it had acknowledged and that this process has not seen, so its answers
 * confirm nothing until they have been written again. A process that starts
 * cannot tell such a copy from a complete one and compares it with its peers.
 */

import type { Logger } from "../logging/mod.ts";
import type { AgeClock } from "./age_clock.ts";
import {
  comparePositions,
  isOfFormerEra,
  pickPosition,
  readEra,
} from "./store_position.ts";
import type { StorePosition } from "./store_position.ts";

/** What a restored store has lost is written again within about two seconds. */
const SETTLE_MS = 2_000;

export interface StoreEras {
  position(): StorePosition;
  /** Removals before this position are unknown; undefined before any read. */
  completeSince(): StorePosition | undefined;
  /** Revision at which the current era was first read. */
  copyRevision(): number;
  /** True if `position` is of an earlier era than the current one. */
  isFormer(position: StorePosition): boolean;
  /** True if a complete state at `position` begins another era. */
  isNewEra(position: StorePosition): boolean;
  /**
   * Records a complete read at the position. What was listed and removed again
   * since the former position is unknown.
   */
  noteCompleteRead(position: StorePosition): void;
  /** Raises the position; one of a later era makes that era current. */
  advance(position: StorePosition): void;
  /** On the age clock: the store's answers to earlier requests confirm nothing. */
  settledSinceMs(): number;
  /** The store is known to hold what the operator wrote before. */
  settle(): void;
  /** False while a starting process has not compared the copy with its peers. */
  isAccepted(): boolean;
  accept(): void;
}

export interface StoreErasOptions {
  readonly clock: AgeClock;
  readonly logger: Logger;
  readonly ageMs: () => number;
  /** True if `accept` will be called. */
  readonly comparesWithPeers: boolean;
}

export function createStoreEras(options: StoreErasOptions): StoreEras {
  const { clock, logger } = options;
  let position: StorePosition = { revision: 0 };
  let completeSince: StorePosition | undefined;
  let copyRevision = 0;
  let settledSinceMs = -Infinity;
  let isAccepted = true;

  function beginEra(next: StorePosition) {
    const isFirst = completeSince === undefined;
    completeSince = next;
    copyRevision = next.revision;
    if (isFirst) {
      const mayBeRestored = options.comparesWithPeers && readEra(next) > 0;
      isAccepted = isAccepted && !mayBeRestored;
      if (mayBeRestored) settledSinceMs = clock.nowMs() + SETTLE_MS;
      return;
    }
    settledSinceMs = clock.nowMs() + SETTLE_MS;
    logger.warn(
      {
        era: readEra(next),
        revision: next.revision,
        formerEra: readEra(position),
        formerRevision: position.revision,
        ageMs: options.ageMs(),
      },
      "the platform's store was restored from an older copy",
    );
  }

  function isNewEra(next: StorePosition): boolean {
    return completeSince === undefined || isOfFormerEra(position, next);
  }

  return {
    position: () => position,
    completeSince: () => completeSince,
    copyRevision: () => copyRevision,
    isFormer: (other) => isOfFormerEra(other, position),
    isNewEra,
    advance(reached) {
      const next = pickPosition(reached);
      if (isNewEra(next)) beginEra(next);
      if (comparePositions(next, position) > 0) position = next;
    },
    noteCompleteRead(read) {
      if (comparePositions(read, position) > 0) {
        completeSince = pickPosition(read);
      }
    },
    settledSinceMs: () => settledSinceMs,
    settle() {
      settledSinceMs = -Infinity;
    },
    isAccepted: () => isAccepted,
    accept() {
      isAccepted = true;
    },
  };
}
