/**
 * Whether this agent may fetch a chunk that an earlier-ranked agent should
 * fetch: only when all earlier-ranked ones are gone or make no progress.
 */

import type { Assignments, TopologyLevel } from "./assignments.ts";
import type { TransferPatience } from "./patience.ts";
import type { PeerHolding } from "./peer_holdings.ts";

/** Waiting tasks ask at least this often, or the wait for an agent is over. */
const MAX_QUERY_GAP_MS = 1_000;

export interface Takeover {
  /** True if no other agent should fetch the chunk before this one. */
  isAssigned(level: TopologyLevel, index: number): boolean;
  canFetch(level: TopologyLevel, index: number): boolean;
}

export interface TakeoverOptions {
  readonly assignments: () => Assignments;
  /** A connected agent that wants the version. */
  readonly findHolding: (host: string) => PeerHolding | undefined;
  /** When the connection to an agent that has none now was lost. */
  readonly disconnectedAtMs: (host: string) => number | undefined;
  /** True for an agent that sent corrupt chunks or stalled. */
  readonly isDistrusted: (host: string) => boolean;
  readonly startedAtMs: number;
  readonly timeouts: TransferPatience;
  readonly nowMs: () => number;
  /** Runs once for each chunk and level taken over. */
  readonly onTakeover: (level: TopologyLevel) => void;
}

interface PendingPeriod {
  /** Start of the time through which this agent had something to fetch. */
  startMs: number;
  lastMs: number;
}

export function createTakeover(options: TakeoverOptions): Takeover {
  const { findHolding, isDistrusted, startedAtMs, nowMs, timeouts } = options;
  const pendingPeriods = new Map<string, PendingPeriod>();
  // When the chunk could first have been fetched, as far as is known here.
  const fetchableSince = new Map<string, number>();
  const takenOver = new Set<string>();

  /** Since when this connected agent has had something to fetch. */
  function trackPendingPeriod(host: string, now: number): number {
    const period = pendingPeriods.get(host);
    if (period === undefined || now - period.lastMs > MAX_QUERY_GAP_MS) {
      pendingPeriods.set(host, { startMs: now, lastMs: now });
      return now;
    }
    period.lastMs = now;
    return period.startMs;
  }

  return {
    isAssigned: (level, index) =>
      options.assignments().listEarlierFetchers(level, index)?.length === 0,
    canFetch(level, index) {
      const earlier = options.assignments().listEarlierFetchers(level, index);
      if (earlier === undefined) return false;
      if (earlier.length === 0) return true;
      const now = nowMs();
      const key = `${level}/${index}`;
      const fetchableSinceMs = fetchableSince.get(key) ?? now;
      fetchableSince.set(key, fetchableSinceMs);
      const connected = earlier.filter(
        (host) => findHolding(host) !== undefined && !isDistrusted(host),
      );
      const areConnectedStuck = connected.every((host) => {
        const idleSinceMs = Math.max(
          trackPendingPeriod(host, now),
          findHolding(host)!.lastProgressAtMs,
        );
        return (
          now - idleSinceMs > connected.length * timeouts.noProgressMs ||
          now - fetchableSinceMs > connected.length * timeouts.noChunkMs
        );
      });
      const areOthersGone = earlier.every((host) => {
        if (findHolding(host) !== undefined) return true;
        const lostAtMs = options.disconnectedAtMs(host) ?? startedAtMs;
        return now - Math.max(lostAtMs, startedAtMs) > timeouts.lostGraceMs;
      });
      if (!areConnectedStuck || !areOthersGone) return false;
      if (!takenOver.has(key)) options.onTakeover(level);
      takenOver.add(key);
      return true;
    },
  };
}
