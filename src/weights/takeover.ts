/**
 * Whether this agent may fetch a chunk that an earlier-ranked agent should
 * fetch: only when all earlier-ranked ones are gone or make no progress.
 */

import type { Assignments, Level } from "./assignments.ts";
import type { PeerHoldings } from "./peer_holdings.ts";

/** Covers a reconnection and the spread of a new host list. */
const LOST_GRACE_MS = 1_000;
/** Longer than the time within which a peer loses a stalled request. */
const NO_PROGRESS_MS = 2_500;
/** For an agent that makes progress, but not with this chunk. */
const NO_CHUNK_MS = 10_000;

export interface Takeover {
  mayFetch(level: Level, index: number): boolean;
}

export interface TakeoverOptions {
  readonly assignments: () => Assignments;
  readonly holdings: PeerHoldings;
  readonly startedAtMs: number;
  readonly nowMs: () => number;
  /** Runs once for each chunk and level taken over. */
  readonly onTakeover: (level: Level) => void;
}

export function createTakeover(options: TakeoverOptions): Takeover {
  const { holdings, startedAtMs, nowMs, onTakeover } = options;
  // When the chunk could first have been fetched, as far as is known here.
  const possibleSince = new Map<string, number>();
  const taken = new Set<string>();

  function isLate(host: string, key: string, rank: number): boolean {
    const now = nowMs();
    const since = Math.max(startedAtMs, possibleSince.get(key) ?? now);
    const holding = holdings.find(host);
    if (holding === undefined) {
      const lostAtMs = holdings.lostAtMs(host) ?? startedAtMs;
      return now - Math.max(lostAtMs, startedAtMs) > LOST_GRACE_MS;
    }
    const idleSince = Math.max(since, holding.progressAtMs);
    return (
      now - idleSince > rank * NO_PROGRESS_MS ||
      now - since > rank * NO_CHUNK_MS
    );
  }

  return {
    mayFetch(level, index) {
      const earlier = options.assignments().earlier(level, index);
      if (earlier === undefined) return false;
      if (earlier.length === 0) return true;
      const key = `${level}/${index}`;
      if (!possibleSince.has(key)) possibleSince.set(key, nowMs());
      const connected = earlier.filter(
        (host) => holdings.find(host) !== undefined,
      );
      const rank = connected.length;
      if (!earlier.every((host) => isLate(host, key, rank))) return false;
      if (!taken.has(key)) onTakeover(level);
      taken.add(key);
      return true;
    },
  };
}
