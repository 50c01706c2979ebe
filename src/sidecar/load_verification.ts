/**
 * Tells whether the weights that the endpoint serves were sound when it loaded
 * them. An endpoint loads what is staged at the moment at which it accepts an
 * order, which can be long after the order was sent; until then chunks can turn
 * corrupt, be lost, or be overwritten by those of another version.
 *
 * A chunk does not turn sound by itself. If all staged chunks match the version
 * after an order was accepted, and none was written since before that, they
 * were sound at that moment.
 */

import type { EndpointReport } from "./endpoint_api.ts";

/**
 * `unsound` weights may have been corrupt when they were loaded, so they must
 * be replaced.
 */
export type LoadState = "sound" | "unverified" | "unsound";

export interface LoadVerification {
  state(): LoadState;
  /** `requestedAtMs` is the time at which the report was requested. */
  onReport(report: EndpointReport, requestedAtMs: number): void;
  /** An order that was sent at `sentAtMs` has been accepted. */
  onOrderAccepted(order: AcceptedOrder): void;
  /** A chunk is about to be staged. */
  onWrite(): void;
  /** Time at which the last report was requested. */
  lastReportAtMs(): number;
  /**
   * Call before the staged chunks are read, and the returned function with the
   * result. It has no effect if another load has begun meanwhile.
   */
  startCheck(): (areChunksValid: boolean) => void;
}

export interface AcceptedOrder {
  /** Orders accepted since the start of the endpoint, including this one. */
  readonly acceptedOrders: number;
  readonly sentAtMs: number;
}

export function createLoadVerification(nowMs: () => number): LoadVerification {
  let state: LoadState = "sound";
  let lastReport: EndpointReport | undefined;
  let lastRequestedAtMs = -Infinity;
  /** Number of accepted orders with the load that `state` describes. */
  let loadOrders = 0;
  let loads = 0;
  /** No earlier than this, the endpoint has accepted the unverified load. */
  let acceptedAfterMs = -Infinity;
  let lastWriteAtMs: number | undefined;

  function startLoad(afterMs: number, acceptedOrders: number) {
    state = "unverified";
    acceptedAfterMs = afterMs;
    loadOrders = acceptedOrders;
    loads += 1;
  }

  /** True if the endpoint may have accepted an order that is not known here. */
  function hasUnknownLoad(report: EndpointReport): boolean {
    // An earlier process of this agent may have sent its order too late.
    if (lastReport === undefined) return report.isBusy;
    if (hasRestarted(lastReport, report)) return true;
    return (
      report.acceptedOrders > lastReport.acceptedOrders &&
      report.acceptedOrders !== loadOrders
    );
  }

  return {
    state: () => state,
    onReport(report, requestedAtMs) {
      const holdsNothing = report.models.length === 0 && !report.isBusy;
      if (hasUnknownLoad(report)) {
        startLoad(lastRequestedAtMs, report.acceptedOrders);
      }
      // A report from before the order says nothing about its load.
      const isOlder = report.acceptedOrders < loadOrders;
      if (holdsNothing && !isOlder) state = "sound";
      lastReport = report;
      lastRequestedAtMs = requestedAtMs;
    },
    onOrderAccepted({ acceptedOrders, sentAtMs }) {
      startLoad(sentAtMs, acceptedOrders);
    },
    onWrite: () => void (lastWriteAtMs = nowMs()),
    lastReportAtMs: () => lastRequestedAtMs,
    startCheck() {
      const checkedLoad = loads;
      return (areChunksValid) => {
        if (loads !== checkedLoad || state !== "unverified") return;
        const isUnchanged =
          lastWriteAtMs === undefined || lastWriteAtMs < acceptedAfterMs;
        state = areChunksValid && isUnchanged ? "sound" : "unsound";
      };
    },
  };
}

/** An endpoint forgets its weights and its orders when it starts again. */
function hasRestarted(former: EndpointReport, report: EndpointReport): boolean {
  const { startedAtMs = former.startedAtMs } = report;
  return (
    (former.startedAtMs !== undefined && startedAtMs !== former.startedAtMs) ||
    report.acceptedOrders < former.acceptedOrders
  );
}
