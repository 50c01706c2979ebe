/**
 * Whether this agent may fetch a chunk that an earlier-ranked agent should
 * fetch: only when all earlier-ranked ones are gone or make no progress.
 */

import type { Assignments, Level } from "./assignments.ts";
import type { TransferPatience } from "./patience.ts";
import type { Holding } from "./peer_holdings.ts";

/** Waiting tasks ask at least this often, or the wait for an agent is over. */
const BLOCKED_GAP_MS = 1_000;

export interface Takeover {
  /** True if no other agent should fetch the chunk before this one. */
  isAssigned(level: Level, index: number): boolean;
  mayFetch(level: Level, index: number): boolean;
}

export interface TakeoverOptions {
  readonly assignments: () => Assignments;
  /** A connected agent that wants the version. */
  readonly findHolding: (host: string) => Holding | undefined;
  /** When the connection to an agent that has none now was lost. */
  readonly lostAtMs: (host: string) => number | undefined;
  /** True for an agent that sent corrupt chunks or stalled. */
  readonly isDistrusted: (host: string) => boolean;
  readonly startedAtMs: number;
  readonly patience: TransferPatience;
  readonly nowMs: () => number;
  /** Runs once for each chunk and level taken over. */
  readonly onTakeover: (level: Level) => void;
}

interface Blocked {
  /** Start of the time through which this agent had something to fetch. */
  sinceMs: number;
  lastMs: number;
}

export function createTakeover(options: TakeoverOptions): Takeover {
  const { findHolding, isDistrusted, startedAtMs, nowMs, patience } = options;
  const blockedBy = new Map<string, Blocked>();
  // When the chunk could first have been fetched, as far as is known here.
  const possibleSince = new Map<string, number>();
  const taken = new Set<string>();

  /** Since when this connected agent has had something to fetch. */
  function noteBlocked(host: string, now: number): number {
    const blocked = blockedBy.get(host);
    if (blocked === undefined || now - blocked.lastMs > BLOCKED_GAP_MS) {
      blockedBy.set(host, { sinceMs: now, lastMs: now });
      return now;
    }
    blocked.lastMs = now;
    return blocked.sinceMs;
  }

  return {
    isAssigned: (level, index) =>
      options.assignments().earlier(level, index)?.length === 0,
    mayFetch(level, index) {
      const earlier = options.assignments().earlier(level, index);
      if (earlier === undefined) return false;
      if (earlier.length === 0) return true;
      const now = nowMs();
      const key = `${level}/${index}`;
      const possibleMs = possibleSince.get(key) ?? now;
      possibleSince.set(key, possibleMs);
      const present = earlier.filter(
        (host) => findHolding(host) !== undefined && !isDistrusted(host),
      );
      const isLate = present.every((host) => {
        const idleSinceMs = Math.max(
          noteBlocked(host, now),
          findHolding(host)!.progressAtMs,
        );
        return (
          now - idleSinceMs > present.length * patience.noProgressMs ||
          now - possibleMs > present.length * patience.noChunkMs
        );
      });
      const isGone = earlier.every((host) => {
        if (findHolding(host) !== undefined) return true;
        const lostAtMs = options.lostAtMs(host) ?? startedAtMs;
        return now - Math.max(lostAtMs, startedAtMs) > patience.lostGraceMs;
      });
      if (!isLate || !isGone) return false;
      if (!taken.has(key)) options.onTakeover(level);
      taken.add(key);
      return true;
    },
  };
}
