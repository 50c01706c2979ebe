/**
 * Asks an endpoint that has closed a connection whether it still runs. The
 * kernel closes the connections of a process that crashes in the same way as
 * one that ends a response without length, or that loses a single response. An
 * endpoint that runs on has ended its response itself, and has not crashed.
 */

import type { Result } from "neverthrow";
import type { Logger } from "../logging/mod.ts";
import { createIncarnationKey } from "./endpoint_availability.ts";
import type { Incarnation } from "./endpoint_availability.ts";

/** An endpoint refuses connections above its limit for a moment. */
const MAX_TRIES = 3;
const RETRY_INTERVAL_MS = 100;

/** Why an endpoint has not stated its start. */
export type StartTimeFailure =
  | "timeout"
  /** Nothing listens at the address any more. */
  | "not_listening"
  | "connection"
  | "refused"
  | "too_large"
  | "aborted";

/**
 * Returns the wall-clock start of the endpoint at an address, or undefined if
 * the endpoint does not state it.
 */
export type ReadStartTime = (
  address: string,
) => Promise<Result<number | undefined, StartTimeFailure>>;

/** False if another endpoint, or a later incarnation, has the address now. */
export type CheckIncarnation = (
  endpoint: Incarnation,
  healthPath: string,
) => Promise<Result<boolean, string>>;

export interface EndpointCheck {
  /**
   * True if a response without length has been sent to its end: the endpoint is
   * running and has not started again.
   */
  confirmEnd(
    endpoint: Incarnation,
    options: {
      /** Only a model engine states its start. */
      readonly hasEngine: boolean;
      /** Path of the health check, by which other endpoints name themselves. */
      readonly healthPath: string | undefined;
      readonly callId: string;
    },
  ): Promise<boolean>;
  /**
   * False if the endpoint runs on with the same start. True also if that cannot
   * be known, as for an endpoint that does not state its start.
   */
  mayHaveCrashed(
    endpoint: Incarnation,
    options: { readonly hasEngine: boolean; readonly callId: string },
  ): Promise<boolean>;
}

type EndpointState =
  | "running"
  | "unknown_start"
  | "restarted"
  | "unreachable"
  | "silent"
  | "not_listening";

/** A start that is not known tells nothing. */
function compareStarts(
  a: number | undefined,
  b: number | undefined,
): EndpointState {
  if (a === undefined || b === undefined) return "unknown_start";
  return a === b ? "running" : "restarted";
}

export function createEndpointCheck({
  readStartTime,
  checkIncarnation,
  readListedStart,
  isListening,
  logger,
}: {
  readonly readStartTime: ReadStartTime;
  readonly checkIncarnation: CheckIncarnation;
  /** Start of the endpoint as it is listed now. */
  readonly readListedStart: (id: string) => number | undefined;
  /** True if a connection to the address can be opened. */
  readonly isListening: (address: string) => Promise<boolean>;
  readonly logger: Logger;
}): EndpointCheck {
  // By incarnation, until they are sent: a crash closes many connections.
  const pendingCrashChecks = new Map<string, Promise<boolean>>();

  async function checkEngine({
    address,
    startedAtMs,
  }: Incarnation): Promise<EndpointState> {
    const found = await readStartTime(address);
    if (found.isOk()) return compareStarts(found.value, startedAtMs);
    if (found.error === "not_listening") return "not_listening";
    return found.error === "timeout" ? "silent" : "unreachable";
  }

  /** One that starts again has another id, or else the list has its start. */
  async function checkPlain(
    endpoint: Incarnation,
    healthPath: string | undefined,
  ): Promise<EndpointState> {
    if (healthPath === undefined) {
      return (await isListening(endpoint.address))
        ? "unknown_start"
        : "unreachable";
    }
    const found = await checkIncarnation(endpoint, healthPath);
    if (found.isErr()) return "unreachable";
    return found.value
      ? compareStarts(readListedStart(endpoint.id), endpoint.startedAtMs)
      : "restarted";
  }

  async function checkRepeatedly(
    check: () => Promise<EndpointState>,
    isRepeatedAfter: (state: EndpointState) => boolean,
  ) {
    let state = await check();
    let tries = 1;
    while (isRepeatedAfter(state) && tries < MAX_TRIES) {
      await new Promise((resolve) => setTimeout(resolve, RETRY_INTERVAL_MS));
      state = await check();
      tries += 1;
    }
    return { state, tries };
  }

  async function checkForCrash(
    endpoint: Incarnation,
    callId: string,
  ): Promise<boolean> {
    const { id, address } = endpoint;
    const key = createIncarnationKey(endpoint);
    await new Promise((resolve) => setImmediate(resolve));
    pendingCrashChecks.delete(key);
    // The call waits for the result, so a silent endpoint is asked only once.
    const result = await checkRepeatedly(
      () => checkEngine(endpoint),
      (state) => state === "unreachable",
    );
    logger.info(
      { id: callId, endpoint: id, address, ...result },
      "checked an endpoint that closed connections without a response",
    );
    return result.state !== "running";
  }

  return {
    async confirmEnd(endpoint, { hasEngine, healthPath, callId }) {
      const { id, address } = endpoint;
      const result = await checkRepeatedly(
        () =>
          hasEngine ? checkEngine(endpoint) : checkPlain(endpoint, healthPath),
        (state) => state === "unreachable" || state === "silent",
      );
      logger.info(
        { id: callId, endpoint: id, address, ...result },
        "checked the endpoint of a response without length",
      );
      return result.state === "running" || result.state === "unknown_start";
    },
    mayHaveCrashed(endpoint, { hasEngine, callId }) {
      if (!hasEngine) return Promise.resolve(true);
      const key = createIncarnationKey(endpoint);
      const check =
        pendingCrashChecks.get(key) ?? checkForCrash(endpoint, callId);
      pendingCrashChecks.set(key, check);
      return check;
    },
  };
}
