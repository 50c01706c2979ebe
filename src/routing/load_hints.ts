/**
 * Estimated load of each connected agent: its last report, and the requests
 * that this entry has dispatched since then. The estimate may be stale; the
 * agents themselves decide on admission.
 */

import type { LoadNotice, Peer } from "../wire/mod.ts";

export interface LoadHint {
  /** Absent until the agent has reported on this connection. */
  readonly report?: LoadNotice;
  /** Own requests in flight that the last report cannot include. */
  readonly sinceReport: number;
  /** Own requests in flight. */
  readonly inFlight: number;
  /** Set when the agent has refused a request because it is leaving. */
  readonly isLeaving: boolean;
}

export interface LoadHints {
  onReport(peer: Peer, report: LoadNotice): void;
  /** Counts a request in flight until the returned function is called. */
  addInFlight(peer: Peer): () => void;
  /** Treats the agent as full until its next report. */
  markFull(peer: Peer): void;
  /** Treats the agent as leaving until its next report. */
  markLeaving(peer: Peer): void;
  read(peer: Peer): LoadHint;
}

const NO_LOAD: LoadHint = {
  sinceReport: 0,
  inFlight: 0,
  isLeaving: false,
};

/** Each hint is kept as long as the connection exists. */
export function createLoadHints(): LoadHints {
  const hints = new WeakMap<Peer, LoadHint>();

  function read(peer: Peer): LoadHint {
    return hints.get(peer) ?? NO_LOAD;
  }

  return {
    read,
    onReport(peer, report) {
      const hint = read(peer);
      if (hint.report && report.sequence < hint.report.sequence) return;
      hints.set(peer, { ...hint, report, sinceReport: 0, isLeaving: false });
    },
    addInFlight(peer) {
      const before = read(peer);
      hints.set(peer, {
        ...before,
        sinceReport: before.sinceReport + 1,
        inFlight: before.inFlight + 1,
      });
      return () => {
        const current = read(peer);
        const isReported = current.report !== before.report;
        hints.set(peer, {
          ...current,
          sinceReport: Math.max(0, current.sinceReport - (isReported ? 0 : 1)),
          inFlight: current.inFlight - 1,
        });
      };
    },
    markFull(peer) {
      const hint = read(peer);
      if (hint.report === undefined) return;
      const { limit, inFlight } = hint.report;
      const full = { ...hint.report, inFlight: Math.max(inFlight, limit) };
      hints.set(peer, { ...hint, report: full });
    },
    markLeaving(peer) {
      hints.set(peer, { ...read(peer), isLeaving: true });
    },
  };
}
