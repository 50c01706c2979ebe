/**
 * Whether this process reaches the store, by the outcomes of its calls. Logs
 * when contact is lost and regained.
 */

import type { Logger } from "../logging/mod.ts";
import type { AgeClock } from "./age_clock.ts";
import type { StoreFailure } from "./store.ts";
import { createStoreOutage } from "./store_outage.ts";
import type { OutageSpan } from "./store_outage.ts";

/**
 * A record expires three heartbeats of 1.2 s after the last one, which may have
 * been sent an interval before the outage. A shorter outage removes no record of
 * a live endpoint.
 */
const MIN_EXPIRY_OUTAGE_MS = 2_400;
/**
 * Records that expire in a store outage are reported as removed when the store
 * is back, and are back themselves within about two seconds of its return. That
 * is up to half a second, the longest backoff of a call, after the last failure.
 */
const EXPIRY_WINDOW_MS = 2_500;

export interface StoreContact {
  /** Of a call sent at this time; without a failure, the store has answered. */
  recordOutcome(failure: StoreFailure | undefined, sentAtMs: number): void;
  /** The store answered a call that does not tell whether watches work. */
  recordAnswer(): void;
  isLost(): boolean;
  /** Time for which a removal may still be due to an outage; 0 for none. */
  expiryWindowMs(): number;
  outage(): OutageSpan | undefined;
  /** Called after a pause of this process, which can make calls fail. */
  reset(): void;
}

export interface StoreContactOptions {
  readonly clock: AgeClock;
  readonly logger: Logger;
  readonly ageMs: () => number;
  readonly onChange: () => void;
}

export function createStoreContact(options: StoreContactOptions): StoreContact {
  const { clock, logger, ageMs, onChange } = options;
  const outage = createStoreOutage(clock.nowMs);
  let isLost = false;
  let lastOutageAtMs = -Infinity;

  /**
   * A connection that has gone silent fails a call as well, but other calls, or
   * those of peers, have confirmed the copy meanwhile.
   */
  function mayBeOutage(): boolean {
    return ageMs() >= MIN_EXPIRY_OUTAGE_MS;
  }

  return {
    recordOutcome(failure, sentAtMs) {
      if (failure === "aborted") return;
      const isNowLost = failure !== undefined && !isAnswer(failure);
      if (isNowLost) {
        if (mayBeOutage()) lastOutageAtMs = performance.now();
        outage.recordFailure(sentAtMs);
      } else outage.recordSuccess();
      if (isNowLost === isLost) return;
      isLost = isNowLost;
      const age = { failure, ageMs: ageMs() };
      if (isLost) logger.warn(age, "lost the platform's store");
      else logger.info(age, "regained the platform's store");
      onChange();
    },
    recordAnswer: outage.recordSuccess,
    isLost: () => isLost,
    expiryWindowMs: () =>
      Math.max(0, lastOutageAtMs + EXPIRY_WINDOW_MS - performance.now()),
    outage: outage.span,
    reset: outage.reset,
  };
}

/** True if the store has answered, so that it is not lost. */
export function isAnswer(failure: StoreFailure): boolean {
  return failure === "compacted" || failure === "mixed_eras";
}
