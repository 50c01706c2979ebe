/**
 * Reads the endpoint's report at short intervals, which is free on its own
 * host, and tells the connected entries what has changed.
 */

import type { Logger } from "../logging/mod.ts";
import type { Mesh } from "../mesh/mod.ts";
import type { EndpointLoadNotice, Phase } from "../wire/mod.ts";
import type { EndpointControl, EndpointReport } from "./endpoint_control.ts";

const INTERVAL_MS = 150;
/** An unchanged report is repeated, so that its age stays bounded. */
const REPEAT_MS = 1_000;
/** One lost answer does not make an endpoint count as down. */
const FAILURES_UNTIL_DOWN = 2;

export interface LoadReporter {
  /** Undefined while the endpoint does not answer. */
  report(): EndpointReport | undefined;
  /** Entries send nothing more while the endpoint switches. */
  setSwitching(isSwitching: boolean): void;
  close(): void;
}

export interface LoadReporterOptions {
  readonly endpoint: EndpointControl;
  readonly address: string;
  readonly mesh: Mesh;
  readonly logger: Logger;
}

export function startLoadReporter(options: LoadReporterOptions): LoadReporter {
  const { endpoint, address, mesh, logger } = options;
  let report: EndpointReport | undefined;
  let phase: Phase = "unknown";
  let isSwitching = false;
  let failures = 0;
  let sentText = "";
  let sentAtMs = -Infinity;
  let isClosed = false;

  function describePhase(): Phase {
    if (failures >= FAILURES_UNTIL_DOWN) return "down";
    if (report === undefined) return "unknown";
    if (isSwitching) return "loading";
    if (report.models.length === 0) return report.isBusy ? "loading" : "empty";
    return "warm";
  }

  function createNotice(): EndpointLoadNotice {
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
    };
  }

  function publish() {
    const next = describePhase();
    if (next !== phase) {
      logger.info(
        { address, phase: next, former: phase, models: report?.models },
        "phase of the endpoint changed",
      );
      phase = next;
    }
    const notice = createNotice();
    const text = JSON.stringify(notice);
    const isDue = performance.now() - sentAtMs > REPEAT_MS;
    if (text === sentText && !isDue) return;
    sentText = text;
    sentAtMs = performance.now();
    mesh
      .peers()
      .filter((peer) => peer.hello.role === "entry")
      .forEach((peer) => peer.sendNotice(notice));
  }

  async function readOnce() {
    const result = await endpoint.readReport();
    if (result.isOk()) {
      failures = 0;
      report = result.value;
    } else {
      failures += 1;
      if (failures >= FAILURES_UNTIL_DOWN) report = undefined;
    }
    publish();
  }

  async function run() {
    while (!isClosed) {
      await readOnce();
      await new Promise((resolve) => setTimeout(resolve, INTERVAL_MS));
    }
  }

  mesh.onPeer((peer) => {
    if (peer.hello.role === "entry") peer.sendNotice(createNotice());
  });
  void run();
  return {
    report: () => report,
    setSwitching(value) {
      isSwitching = value;
      publish();
    },
    close() {
      isClosed = true;
    },
  };
}
