/**
 * Repeats an asynchronous step. An exception in it would end the process, as
 * the loop has no caller that could catch it, so it is logged instead, and the
 * step is tried again.
 */

import type { Logger } from "../logging/mod.ts";

const RETRY_DELAY_MS = 250;

export interface RepeatedSteps {
  close(): void;
}

export interface RepeatedStepsOptions {
  readonly name: string;
  /** Returns the delay before the next step in milliseconds. */
  readonly step: () => Promise<number>;
  readonly logger: Logger;
}

export function repeatSteps(options: RepeatedStepsOptions): RepeatedSteps {
  const { name, step, logger } = options;
  let isClosed = false;

  async function runGuarded(): Promise<number> {
    try {
      return await step();
    } catch (error) {
      logger.error({ err: error, step: name }, "a repeated step failed");
      return RETRY_DELAY_MS;
    }
  }

  async function run() {
    while (!isClosed) {
      const delayMs = await runGuarded();
      await new Promise((resolve) => setTimeout(resolve, delayMs));
    }
  }

  void run();
  return { close: () => void (isClosed = true) };
}
