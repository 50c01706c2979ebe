/**
 * Lends permits for the endpoint on this host to entries, while the endpoint
 * names a request limit, and tells entries what it learns of the limit.
 */

import {
  createLimitsNotice,
  createPermitLender,
  fromLimitRecord,
} from "../limits/mod.ts";
import type { StatedLimits } from "../limits/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { Mesh } from "../mesh/mod.ts";
import type { Registry } from "../metrics/mod.ts";
import type {
  Peer,
  PermitAskNotice,
  RequestLimitsNotice,
  StatedLimitRecord,
} from "../wire/mod.ts";
import type { EndpointReport } from "./endpoint_api.ts";
import { createReportedLimit } from "./reported_limit.ts";

/** Permits are lent up to hundreds of times a second; one line sums them up. */
const LOG_INTERVAL_MS = 1_000;

export interface RequestLender {
  /** To be called with each report of the endpoint. */
  onReport(report: EndpointReport, sentAtMs: number): void;
  close(): void;
}

export interface RequestLenderOptions {
  /** Of the endpoint. */
  readonly address: string;
  readonly statedLimits: StatedLimits;
  readonly mesh: Pick<Mesh, "onMeshNotice" | "partners" | "findPeer">;
  readonly nowMs: () => number;
  readonly registry: Registry;
  readonly logger: Logger;
}

export function startRequestLender(
  options: RequestLenderOptions,
): RequestLender {
  const { address, statedLimits, mesh, nowMs, registry, logger } = options;
  const lender = createPermitLender(nowMs);
  const reportedLimit = createReportedLimit(options);
  const lent = registry.counter(
    "request_permits_lent_total",
    "Permits for requests to the endpoint that were lent to entries",
  );
  /** Of the newest incarnation that any process has named. */
  let startedAtMs: number | undefined;
  let timer: NodeJS.Timeout | undefined;
  let summary = { sinceMs: -Infinity, asks: 0, permits: 0 };

  function readLimitPerS(): number {
    return statedLimits.read({ address, startedAtMs })?.ratePerS ?? Infinity;
  }

  function isCurrent(record: { readonly startedAtMs?: number | undefined }) {
    return (record.startedAtMs ?? 0) >= (startedAtMs ?? 0);
  }

  function sendLimit(receivers: readonly Peer[]) {
    const endpoint = { address, startedAtMs };
    const statement = statedLimits.read(endpoint);
    if (statement === undefined) return;
    const notice = createLimitsNotice([{ endpoint, statement }], nowMs());
    receivers.forEach((peer) => peer.sendNotice(notice));
  }

  function listPartners(except?: Peer): readonly Peer[] {
    return mesh
      .partners()
      .map(({ peer }) => peer)
      .filter((peer) => peer !== except);
  }

  function onRecord(record: StatedLimitRecord, sender: Peer) {
    if (record.address !== address || !isCurrent(record)) return;
    startedAtMs = record.startedAtMs;
    const { endpoint, statement } = fromLimitRecord(record, nowMs());
    const { host } = sender.hello;
    if (statedLimits.note(endpoint, statement, host)) {
      sendLimit(listPartners(sender));
    }
    // The sender has not heard a later statement yet.
    if (readLimitPerS() !== statement.ratePerS) sendLimit([sender]);
  }

  function lend() {
    clearTimeout(timer);
    lender.setLimit(readLimitPerS());
    lender.grant().forEach(({ entry, askId, count }) => {
      lent.increment({}, count);
      summary.permits += count;
      const peer = mesh.findPeer(entry);
      peer?.sendNotice({ topic: "permit_grant", askId, count });
    });
    logSummary();
    const delayMs = lender.findDelayMs();
    if (delayMs === undefined) return;
    timer = setTimeout(lend, Math.max(1, Math.ceil(delayMs)));
  }

  function logSummary() {
    const now = nowMs();
    if (now - summary.sinceMs < LOG_INTERVAL_MS) return;
    const { asks, permits } = summary;
    summary = { sinceMs: now, asks: 0, permits: 0 };
    if (asks === 0) return;
    logger.info(
      { address, ratePerS: readLimitPerS(), asks, permits },
      "lent permits for an endpoint that names a request limit",
    );
  }

  mesh.onMeshNotice("request_limits", (peer, notice) =>
    (notice as RequestLimitsNotice).limits.forEach((record) =>
      onRecord(record, peer),
    ),
  );
  mesh.onMeshNotice("permit_ask", (peer, notice) => {
    const { askId, count, limit } = notice as PermitAskNotice;
    onRecord(limit, peer);
    lender.setLimit(readLimitPerS());
    summary.asks += 1;
    lender.ask({ entry: peer.hello.host, askId, count });
    lend();
  });

  return {
    onReport(report, sentAtMs) {
      if (isCurrent(report)) startedAtMs = report.startedAtMs ?? startedAtMs;
      const isChanged = reportedLimit.onReport(report, sentAtMs);
      if (isChanged) sendLimit(listPartners());
    },
    close: () => clearTimeout(timer),
  };
}
