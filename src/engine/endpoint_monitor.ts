/**
 * Follows the state of the endpoint. A model engine reports its state, which
 * lags; a plain service counts as warm while it accepts TCP connections.
 */

import type { Phase } from "../wire/mod.ts";
import type { EndpointClient } from "./endpoint_client.ts";
import type { EngineState, Fencing } from "./engine_state.ts";

const POLL_INTERVAL_MS = 250;
/** Failed reads after which the last report no longer counts. */
const MAX_FAILED_READS = 3;

export type EndpointKind = "language" | "plain";

export interface EndpointStatus {
  readonly phase: Phase;
  readonly bootId?: string;
  readonly versionDigest?: string;
  readonly fencing?: Fencing;
  readonly inFlight: number;
  readonly queued: number;
  /** Wall-clock time of the state itself, by the endpoint's clock. */
  readonly reportedAtMs: number;
}

export interface EndpointMonitor {
  status(): EndpointStatus;
  onStatus(
    handler: (status: EndpointStatus, previous: EndpointStatus) => void,
  ): void;
  /** Reads the state once; concurrent calls share one read. */
  poll(): Promise<void>;
  /** Makes the state unknown until a report made after this call. */
  distrust(): void;
  start(): void;
  close(): void;
}

export interface MonitorOptions {
  readonly client: Pick<EndpointClient, "readState" | "canConnect">;
  /** Undefined until the service is known; then an engine is tried. */
  readonly kind: () => EndpointKind | undefined;
  readonly wallMs: () => number;
  readonly intervalMs?: number;
}

const UNKNOWN: EndpointStatus = {
  phase: "unknown",
  inFlight: 0,
  queued: 0,
  reportedAtMs: 0,
};

export function createEndpointMonitor(
  options: MonitorOptions,
): EndpointMonitor {
  const { client, kind, wallMs, intervalMs = POLL_INTERVAL_MS } = options;
  const handlers: ((
    status: EndpointStatus,
    previous: EndpointStatus,
  ) => void)[] = [];
  let status = UNKNOWN;
  let failedReads = 0;
  let distrustedUntilMs = 0;
  let running: Promise<void> | undefined;
  let timer: NodeJS.Timeout | undefined;

  function setStatus(next: EndpointStatus) {
    const previous = status;
    status = next;
    handlers.forEach((handler) => handler(next, previous));
  }

  function setFailed(isRefused: boolean) {
    failedReads += 1;
    if (isRefused) return setStatus({ ...UNKNOWN, phase: "down" });
    if (failedReads >= MAX_FAILED_READS) setStatus(UNKNOWN);
  }

  function acceptState(state: EngineState) {
    failedReads = 0;
    if (state.reportedAtMs < distrustedUntilMs) return;
    setStatus(state);
  }

  async function readPlain() {
    const reachable = await client.canConnect();
    if (!reachable) return setFailed(true);
    failedReads = 0;
    setStatus({ ...UNKNOWN, phase: "warm", reportedAtMs: wallMs() });
  }

  async function readEngine() {
    const state = await client.readState();
    state.match(acceptState, (reason) => {
      if (kind() !== undefined) setFailed(reason === "ECONNREFUSED");
    });
  }

  function poll(): Promise<void> {
    running ??= (kind() === "plain" ? readPlain() : readEngine()).finally(
      () => (running = undefined),
    );
    return running;
  }

  return {
    poll,
    status: () => status,
    onStatus: (handler) => void handlers.push(handler),
    distrust() {
      distrustedUntilMs = wallMs();
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
