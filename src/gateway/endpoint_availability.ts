/**
 * What endpoints say in their responses about taking further requests: that
 * they are leaving, or that they want none for a time. Such a statement is
 * newer than the published list, which may be seconds old, and holds for one
 * incarnation of the endpoint.
 */

import type { EndpointRecord } from "../directory/mod.ts";
import { createRecentRecords } from "../limits/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { Registry } from "../metrics/mod.ts";
import type { ResponseHeaders } from "./call.ts";

/** More than the endpoints of the largest planned fleet, and their successors. */
const MAX_RECORDS = 8_192;
const STATUS_MISDIRECTED = 421;
const STATUS_UNAVAILABLE = 503;
/**
 * Several requests in progress get the same refusal within milliseconds; a
 * later end is logged if it differs by this.
 */
const LOGGED_EXTENSION_MS = 500;

/** The endpoint fields that name an incarnation, and those for the log. */
export type Incarnation = Pick<
  EndpointRecord,
  "id" | "address" | "startedAtMs" | "service"
>;

/**
 * After a pause one request tries the endpoint. Refusals come at once, so the
 * others follow after this time.
 */
const TRIAL_MS = 100;

export interface EndpointAvailability {
  /** To be called when a request is about to be sent there. */
  onSend(endpoint: Incarnation): void;
  /** To be called with the head of each response to a request sent there. */
  onResponse(
    endpoint: Incarnation,
    status: number,
    headers: ResponseHeaders,
  ): void;
  /** True once the endpoint has said so; it never takes that back. */
  isLeaving(endpoint: Incarnation): boolean;
  /** Time for which the endpoint still wants no requests; 0 if it takes them. */
  pausedMs(endpoint: Incarnation): number;
  /** As `pausedMs`, or for which the first request after a pause is awaited. */
  closedMs(endpoint: Incarnation): number;
  /** From the request for a pause to its end; 0 if there was none. */
  pauseLengthMs(endpoint: Incarnation): number;
  isAnyPaused(): boolean;
}

export interface EndpointAvailabilityOptions {
  readonly nowMs: () => number;
  readonly registry: Registry;
  readonly logger: Logger;
}

interface AvailabilityRecord {
  readonly isLeaving: boolean;
  readonly pausedSinceMs: number;
  readonly pausedUntilMs: number;
  /** True if a request was not refused since the pause. */
  readonly isTried: boolean;
  readonly trialSentAtMs: number;
}

const INITIAL_RECORD: AvailabilityRecord = {
  isLeaving: false,
  pausedSinceMs: -Infinity,
  pausedUntilMs: -Infinity,
  isTried: true,
  trialSentAtMs: -Infinity,
};

export function createEndpointAvailability({
  nowMs,
  registry,
  logger,
}: EndpointAvailabilityOptions): EndpointAvailability {
  const records = createRecentRecords<AvailabilityRecord>(MAX_RECORDS);
  let lastPauseEndMs = -Infinity;
  const changes = registry.counter(
    "endpoint_availability_changes_total",
    "Endpoints that said that they are leaving or asked for a pause, by kind",
  );

  function read(endpoint: Incarnation): AvailabilityRecord {
    return records.read(createIncarnationKey(endpoint)) ?? INITIAL_RECORD;
  }

  function write(endpoint: Incarnation, record: AvailabilityRecord) {
    records.write(createIncarnationKey(endpoint), record);
  }

  function noteLeaving(endpoint: Incarnation, status: number) {
    const record = read(endpoint);
    if (record.isLeaving) return;
    write(endpoint, { ...record, isLeaving: true });
    changes.increment({ kind: "leaving" });
    logger.info(
      { ...describe(endpoint), status },
      "endpoint says that it is leaving",
    );
  }

  function notePause(
    endpoint: Incarnation,
    pauseMs: number,
    isMarkedNotRun: boolean,
  ) {
    const record = read(endpoint);
    const now = nowMs();
    const pausedUntilMs = now + pauseMs;
    if (pausedUntilMs <= Math.max(now, record.pausedUntilMs)) return;
    const isExtension = record.pausedUntilMs > now;
    const pausedSinceMs = isExtension ? record.pausedSinceMs : now;
    write(endpoint, {
      ...record,
      pausedSinceMs,
      pausedUntilMs,
      isTried: false,
      trialSentAtMs: -Infinity,
    });
    lastPauseEndMs = Math.max(lastPauseEndMs, pausedUntilMs);
    const addedMs = pausedUntilMs - record.pausedUntilMs;
    if (isExtension && addedMs < LOGGED_EXTENSION_MS) return;
    changes.increment({ kind: "pause" });
    logger.info(
      { ...describe(endpoint), pauseMs, isExtension, isMarkedNotRun },
      "endpoint asked for a pause",
    );
  }

  function pausedMs(endpoint: Incarnation): number {
    return Math.max(0, read(endpoint).pausedUntilMs - nowMs());
  }

  /** True from the end of the last pause until a request is not refused. */
  function isUntried({ isTried, pausedUntilMs }: AvailabilityRecord): boolean {
    return !isTried && nowMs() >= pausedUntilMs;
  }

  return {
    onSend(endpoint) {
      const record = read(endpoint);
      if (!isUntried(record)) return;
      write(endpoint, { ...record, trialSentAtMs: nowMs() });
    },
    onResponse(endpoint, status, headers) {
      if (!isFrom(endpoint, status, headers)) return;
      if (headers.isLeaving) noteLeaving(endpoint, status);
      const pauseMs = readPauseMs(status, headers);
      if (pauseMs > 0) {
        return notePause(endpoint, pauseMs, headers.isMarkedNotRun);
      }
      const record = read(endpoint);
      if (isUntried(record)) write(endpoint, { ...record, isTried: true });
    },
    isLeaving: (endpoint) => read(endpoint).isLeaving,
    pausedMs,
    closedMs(endpoint) {
      const record = read(endpoint);
      const trialMs = isUntried(record)
        ? record.trialSentAtMs + TRIAL_MS - nowMs()
        : 0;
      return Math.max(pausedMs(endpoint), trialMs);
    },
    pauseLengthMs(endpoint) {
      const { pausedSinceMs, pausedUntilMs } = read(endpoint);
      return pausedUntilMs === -Infinity ? 0 : pausedUntilMs - pausedSinceMs;
    },
    isAnyPaused: () => nowMs() < lastPauseEndMs,
  };
}

/** The pause that a response asks for; 0 for none. */
export function readPauseMs(
  status: number,
  { retryAfterMs = 0 }: ResponseHeaders,
): number {
  return status === STATUS_UNAVAILABLE ? retryAfterMs : 0;
}

/** The address belongs to it as well, where no start time is published. */
export function createIncarnationKey({
  id,
  address,
  startedAtMs,
}: Incarnation): string {
  return `${id} ${startedAtMs ?? ""} ${address}`;
}

function describe({ id, address, startedAtMs, service }: Incarnation) {
  return { endpoint: id, address, startedAtMs, service };
}

/**
 * A 421 also comes from another endpoint that was given the address, so it has
 * to name its sender.
 */
export function isFrom(
  endpoint: Pick<Incarnation, "id">,
  status: number,
  { endpointId }: ResponseHeaders,
): boolean {
  if (endpointId === undefined) return status !== STATUS_MISDIRECTED;
  return endpointId === endpoint.id;
}
