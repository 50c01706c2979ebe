/**
 * Tells whether an agent that has just started still waits to hear what its
 * peers hold. It would otherwise ask the store for chunks that they hold, since
 * it can have the manifest before it is connected to them.
 */

import type { PeerHoldings } from "./peer_holdings.ts";

export interface AwaitedReports {
  /** To be called with the agents to which this one connects. */
  setPeers(hosts: readonly string[]): void;
  /** True until each peer has reported, or for `graceMs` after the first list. */
  isAwaiting(): boolean;
}

export function createAwaitedReports({
  findHolding,
  graceMs,
  nowMs,
}: {
  readonly findHolding: PeerHoldings["find"];
  readonly graceMs: number;
  readonly nowMs: () => number;
}): AwaitedReports {
  let awaited: readonly string[] = [];
  let endsAtMs: number | undefined;

  return {
    setPeers(hosts) {
      if (hosts.length === 0) return;
      endsAtMs ??= nowMs() + graceMs;
      awaited = nowMs() < endsAtMs ? hosts : [];
    },
    isAwaiting() {
      if (awaited.length === 0) return false;
      awaited = awaited.filter(
        (host) => findHolding(host)?.hasReported !== true,
      );
      if (nowMs() >= endsAtMs!) awaited = [];
      return awaited.length > 0;
    },
  };
}
