/**
 * Decides whether this agent may fetch a chunk that is assigned to an agent
 * that ranks before it: only if all such agents are disconnected or make no
 * progress.
 */

import type { Assignments, TopologyLevel } from "./assignments.ts";
import type { TransferTimeouts } from "./transfer_timeouts.ts";
import type { PeerHolding } from "./peer_holdings.ts";

/** Waiting tasks query more often; a longer gap ends a pending period. */
const MAX_QUERY_GAP_MS = 1_000;

export interface TakeoverPolicy {
  /** True if this agent ranks first for fetching the chunk into the level. */
  isAssigned(level: TopologyLevel, index: number): boolean;
  canFetch(level: TopologyLevel, index: number): boolean;
}

export interface TakeoverPolicyOptions {
  readonly assignments: () => Assignments;
  /** Returns the holding of a connected agent that wants the version. */
  readonly findHolding: (host: string) => PeerHolding | undefined;
  /** Time at which the connection to a currently unconnected agent was lost. */
  readonly disconnectedAtMs: (host: string) => number | undefined;
  /** True for an agent that sent corrupt data or whose requests have failed. */
  readonly isDistrusted: (host: string) => boolean;
  /** True while it is unknown which chunks the peers hold. */
  readonly isAwaitingReports: () => boolean;
  readonly startedAtMs: number;
  readonly timeouts: TransferTimeouts;
  readonly nowMs: () => number;
  /** Called once for each chunk and level taken over. */
  readonly onTakeover: (level: TopologyLevel) => void;
}

/** Period in which another agent continuously had chunks to fetch. */
interface PendingPeriod {
  startMs: number;
  lastMs: number;
}

export function createTakeoverPolicy(
  options: TakeoverPolicyOptions,
): TakeoverPolicy {
  const { findHolding, isDistrusted, startedAtMs, nowMs, timeouts } = options;
  const pendingPeriods = new Map<string, PendingPeriod>();
  // First query for each chunk, as an estimate of when it became available.
  const fetchableSince = new Map<string, number>();
  const takenOver = new Set<string>();

  /** Returns the time since which a connected agent has had chunks to fetch. */
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
      !(level === "fleet" && options.isAwaitingReports()) &&
      options.assignments().listEarlierFetchers(level, index)?.length === 0,
    canFetch(level, index) {
      if (level === "fleet" && options.isAwaitingReports()) return false;
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
        return now - Math.max(lostAtMs, startedAtMs) > timeouts.offlineGraceMs;
      });
      if (!areConnectedStuck || !areOthersGone) return false;
      if (!takenOver.has(key)) options.onTakeover(level);
      takenOver.add(key);
      return true;
    },
  };
}
