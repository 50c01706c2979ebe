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

export interface EndConfirmation {
  /** True if the endpoint is running and has not started again. */
  confirm(
    endpoint: Incarnation,
    options: {
      /** Only a model engine states its start. */
      readonly hasEngine: boolean;
      readonly callId: string;
    },
  ): Promise<boolean>;
}

export function createEndConfirmation({
  readStartTime,
  isListening,
  logger,
}: {
  readonly readStartTime: ReadStartTime;
  /** True if a connection to the address can be opened. */
  readonly isListening: (address: string) => Promise<boolean>;
  readonly logger: Logger;
}): EndConfirmation {
  async function check(
    { address, startedAtMs }: Incarnation,
    hasEngine: boolean,
  ): Promise<"running" | "restarted" | "unreachable"> {
    if (!hasEngine) {
      return (await isListening(address)) ? "running" : "unreachable";
    }
    const found = await readStartTime(address);
    if (found.isErr()) return "unreachable";
    const isSame =
      found.value === undefined ||
      startedAtMs === undefined ||
      found.value === startedAtMs;
    return isSame ? "running" : "restarted";
  }

  return {
    async confirm(endpoint, { hasEngine, callId }) {
      let state = await check(endpoint, hasEngine);
      let tries = 1;
      while (state === "unreachable" && tries < MAX_TRIES) {
        await new Promise((resolve) => setTimeout(resolve, RETRY_INTERVAL_MS));
        state = await check(endpoint, hasEngine);
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
