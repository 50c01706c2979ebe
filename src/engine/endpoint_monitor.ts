/**
 * Polls the state of the endpoint. A model engine reports its state with some
 * delay; a plain service counts as warm while it accepts TCP connections.
 */

import type { Phase } from "../wire/mod.ts";
import type { EndpointClient } from "./endpoint_client.ts";
import type { EngineState, Fencing } from "./engine_state.ts";

const POLL_INTERVAL_MS = 250;
/** After this many failed reads, the state is unknown. */
const MAX_FAILED_READS = 3;

export type EndpointKind = "language" | "plain";

export interface EndpointStatus {
  readonly phase: Phase;
  readonly bootId?: string;
  readonly versionDigest?: string;
  readonly fencing?: Fencing;
  readonly inFlight: number;
  readonly queued: number;
  /** Time of the state, by the endpoint's wall clock. */
  readonly reportedAtMs: number;
}

export interface EndpointMonitor {
  status(): EndpointStatus;
  onStatus(
    handler: (status: EndpointStatus, previous: EndpointStatus) => void,
  ): void;
  /** Reads the state once; concurrent calls share one read. */
  poll(): Promise<void>;
  /** Sets the state to unknown until a report that is newer than this call. */
  invalidateStatus(): void;
  start(): void;
  close(): void;
}

export interface EndpointMonitorOptions {
  readonly client: Pick<EndpointClient, "readState" | "canConnect">;
  /** Undefined until the service is known; until then, an engine is tried. */
  readonly kind: () => EndpointKind | undefined;
  readonly wallMs: () => number;
  readonly intervalMs?: number;
}

const UNKNOWN_STATUS: EndpointStatus = {
  phase: "unknown",
  inFlight: 0,
  queued: 0,
  reportedAtMs: 0,
};

export function createEndpointMonitor(
  options: EndpointMonitorOptions,
): EndpointMonitor {
  const { client, kind, wallMs, intervalMs = POLL_INTERVAL_MS } = options;
  const handlers: ((
    status: EndpointStatus,
    previous: EndpointStatus,
  ) => void)[] = [];
  let status = UNKNOWN_STATUS;
  let failedReadCount = 0;
  let ignoredBeforeMs = 0;
  let pendingPoll: Promise<void> | undefined;
  let timer: NodeJS.Timeout | undefined;

  function setStatus(next: EndpointStatus) {
    const previous = status;
    status = next;
    handlers.forEach((handler) => handler(next, previous));
  }

  function recordFailedRead(isDown: boolean) {
    failedReadCount += 1;
    if (isDown) return setStatus({ ...UNKNOWN_STATUS, phase: "down" });
    if (failedReadCount >= MAX_FAILED_READS) setStatus(UNKNOWN_STATUS);
  }

  function acceptState(state: EngineState) {
    failedReadCount = 0;
    if (state.reportedAtMs < ignoredBeforeMs) return;
    setStatus(state);
  }

  async function checkPlainService() {
    const isReachable = await client.canConnect();
    if (!isReachable) return recordFailedRead(true);
    failedReadCount = 0;
    setStatus({ ...UNKNOWN_STATUS, phase: "warm", reportedAtMs: wallMs() });
  }

  async function readEngineState() {
    const state = await client.readState();
    state.match(acceptState, (reason) => {
      if (kind() !== undefined) recordFailedRead(reason === "ECONNREFUSED");
    });
  }

  function poll(): Promise<void> {
    pendingPoll ??= (
      kind() === "plain" ? checkPlainService() : readEngineState()
    ).finally(() => (pendingPoll = undefined));
    return pendingPoll;
  }

  return {
    poll,
    status: () => status,
    onStatus: (handler) => void handlers.push(handler),
    invalidateStatus() {
      ignoredBeforeMs = wallMs();
      if (status.phase !== "unknown") {
        setStatus({ ...status, phase: "unknown" });
      }
      void poll();
    },
    start() {
      timer ??= setInterval(() => void poll(), intervalMs);
      void poll();
    },
    close: () => clearInterval(timer),
  };
}
