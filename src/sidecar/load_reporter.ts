/**
 * Reads the endpoint's report at short intervals, which costs no network
 * traffic between hosts, and sends changes to the entries that use the
 * endpoint: at once to those of the same data centre, which send it most of its
 * requests, and at longer intervals to the others, for which it is a spare.
 */

import type { Logger } from "../logging/mod.ts";
import type { Mesh } from "../mesh/mod.ts";
import type { EndpointLoadNotice, Phase } from "../wire/mod.ts";
import type { EndpointApi, EndpointReport } from "./endpoint_api.ts";
import { repeatSteps } from "./repeat_steps.ts";

const READ_INTERVAL_MS = 150;
/**
 * An unchanged report is repeated, so that the age of the last one is bounded.
 */
const REPEAT_INTERVAL_MS = 1_000;
/** Interval of the reports to other data centres while only the load changes. */
const REMOTE_INTERVAL_MS = 600;
/** A single lost response must not keep new requests away. */
const FAILURES_UNTIL_UNKNOWN = 2;

interface SentReport {
  readonly text: string;
  readonly atMs: number;
  readonly phase: Phase;
}

const NEVER_SENT: SentReport = { text: "", atMs: -Infinity, phase: "unknown" };

export interface LoadReporter {
  /** Last report; undefined while the endpoint does not respond. */
  report(): EndpointReport | undefined;
  /**
   * Reports the phase `loading` during a switch, so that entries send no
   * requests.
   */
  setSwitching(isSwitching: boolean): void;
  close(): void;
}

export interface LoadReporterOptions {
  readonly endpoint: EndpointApi;
  readonly address: string;
  readonly mesh: Mesh;
  /** Share of an entry in the endpoint's request rate, if it is known. */
  readonly readSharePerS: () => number | undefined;
  /** False while requests must not run on the weights that are loaded. */
  readonly isLoadSound: () => boolean;
  /** Called with each report and the time at which it was requested. */
  readonly onReport: (report: EndpointReport, sentAtMs: number) => void;
  readonly logger: Logger;
}

export function startLoadReporter(options: LoadReporterOptions): LoadReporter {
  const { endpoint, address, mesh, logger } = options;
  let report: EndpointReport | undefined;
  let phase: Phase = "unknown";
  let isSwitching = false;
  let failures = 0;
  let startedAtMs: number | undefined;
  let hasRestarted = false;
  /** The last report sent to entries of the same and of other data centres. */
  const lastSent = { local: NEVER_SENT, remote: NEVER_SENT };

  /**
   * Entries send nothing new to an endpoint of phase `unknown`. They also end
   * all attempts at one that is `down`, so only another start time shows that:
   * an endpoint that does not answer may go on with its requests.
   */
  function determinePhase(): Phase {
    if (hasRestarted) return "down";
    if (report === undefined) return "unknown";
    if (report.isLeaving) return "leaving";
    if (isSwitching || !options.isLoadSound()) return "loading";
    if (report.models.length === 0) return report.isBusy ? "loading" : "empty";
    return "warm";
  }

  function createNotice(): EndpointLoadNotice {
    const sharePerS = options.readSharePerS();
    return {
      topic: "endpoint_load",
      address,
      phase,
      models: report?.models ?? [],
      running: report?.running ?? 0,
      waiting: report?.waiting ?? 0,
      memoryUsedTokens: report?.memoryUsedTokens ?? 0,
      memoryTotalTokens: report?.memoryTotalTokens ?? 0,
      slowdown: report?.slowdown ?? 1,
      ...(sharePerS !== undefined && { sharePerS }),
    };
  }

  function publish() {
    const next = determinePhase();
    if (next !== phase) {
      logger.info(
        { address, phase: next, former: phase, models: report?.models },
        "phase of the endpoint changed",
      );
      phase = next;
    }
    const notice = createNotice();
    const text = JSON.stringify(notice);
    sendIfDue("local", notice, text);
    sendIfDue("remote", notice, text);
  }

  function sendIfDue(
    place: "local" | "remote",
    notice: EndpointLoadNotice,
    text: string,
  ) {
    const last = lastSent[place];
    const ageMs = performance.now() - last.atMs;
    const isRepeatDue = ageMs > REPEAT_INTERVAL_MS;
    if (text === last.text && !isRepeatDue) return;
    const isOnlyLoad = notice.phase === last.phase;
    if (place === "remote" && isOnlyLoad && ageMs < REMOTE_INTERVAL_MS) return;
    const atMs = performance.now();
    lastSent[place] = { text, atMs, phase: notice.phase };
    mesh
      .partners()
      .filter(({ isLocal }) => isLocal === (place === "local"))
      .forEach(({ peer }) => peer.sendNotice(notice));
  }

  /** Returns the delay before the next read. */
  async function readOnce(): Promise<number> {
    const sentAtMs = performance.now();
    const result = await endpoint.readReport();
    if (result.isOk()) {
      failures = 0;
      report = result.value;
      const former = startedAtMs;
      startedAtMs = report.startedAtMs ?? former;
      hasRestarted = former !== undefined && startedAtMs !== former;
      options.onReport(report, sentAtMs);
    } else {
      failures += 1;
      if (failures >= FAILURES_UNTIL_UNKNOWN) report = undefined;
    }
    publish();
    return READ_INTERVAL_MS;
  }

  mesh.onPeer((peer) => {
    const isPartner = mesh.partners().some((partner) => partner.peer === peer);
    if (isPartner) peer.sendNotice(createNotice());
  });
  const reads = repeatSteps({ name: "read_report", step: readOnce, logger });
  return {
    report: () => report,
    setSwitching(value) {
      isSwitching = value;
      publish();
    },
    close: reads.close,
  };
}
