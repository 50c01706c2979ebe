/**
 * Confirms that a response without length has been sent to its end. Only the
 * close of its connection ends it, and the kernel closes the connections of a
 * process that crashes in the same way. An endpoint that still runs has ended
 * its response itself.
 */

import type { Result } from "neverthrow";
import type { Logger } from "../logging/mod.ts";
import type { Incarnation } from "./endpoint_availability.ts";

/** An endpoint refuses connections above its limit for a moment. */
const MAX_TRIES = 3;
const RETRY_INTERVAL_MS = 100;

/**
 * Returns the wall-clock start of the endpoint at an address, or undefined if
 * the endpoint does not state it.
 */
export type ReadStartTime = (
  address: string,
) => Promise<Result<number | undefined, string>>;

/** False if another endpoint, or a later incarnation, has the address now. */
export type CheckIncarnation = (
  endpoint: Incarnation,
  healthPath: string,
) => Promise<Result<boolean, string>>;

export interface EndConfirmation {
  /** True if the endpoint is running and has not started again. */
  confirm(
    endpoint: Incarnation,
    options: {
      /** Only a model engine states its start. */
      readonly hasEngine: boolean;
      /** Path of the health check, by which other endpoints name themselves. */
      readonly healthPath: string | undefined;
      readonly callId: string;
    },
  ): Promise<boolean>;
}

type EndpointState = "running" | "restarted" | "unreachable";

/** A start that is not known tells nothing. */
function isSameStart(a: number | undefined, b: number | undefined): boolean {
  return a === undefined || b === undefined || a === b;
}

export function createEndConfirmation({
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
}): EndConfirmation {
  async function checkEngine({
    address,
    startedAtMs,
  }: Incarnation): Promise<EndpointState> {
    const found = await readStartTime(address);
    if (found.isErr()) return "unreachable";
    return isSameStart(found.value, startedAtMs) ? "running" : "restarted";
  }

  /** One that starts again has another id, or else the list has its start. */
  async function checkPlain(
    endpoint: Incarnation,
    healthPath: string | undefined,
  ): Promise<EndpointState> {
    if (healthPath === undefined) {
      return (await isListening(endpoint.address)) ? "running" : "unreachable";
    }
    const found = await checkIncarnation(endpoint, healthPath);
    if (found.isErr()) return "unreachable";
    const listedStartMs = readListedStart(endpoint.id);
    return found.value && isSameStart(listedStartMs, endpoint.startedAtMs)
      ? "running"
      : "restarted";
  }

  return {
    async confirm(endpoint, { hasEngine, healthPath, callId }) {
      const check = () =>
        hasEngine ? checkEngine(endpoint) : checkPlain(endpoint, healthPath);
      let state = await check();
      let tries = 1;
      while (state === "unreachable" && tries < MAX_TRIES) {
        await new Promise((resolve) => setTimeout(resolve, RETRY_INTERVAL_MS));
        state = await check();
        tries += 1;
      }
      const { id, address } = endpoint;
      logger.info(
        { id: callId, endpoint: id, address, state, tries },
        "checked the endpoint of a response without length",
      );
      return state === "running";
    },
  };
}
