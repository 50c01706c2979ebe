/**
 * Token bucket for one direction of the host's link. All traffic on the link
 * consumes tokens, but only weight transfer waits for them, so that it uses the
 * bandwidth that live requests leave over.
 */

/** Short, so that live traffic does not queue behind a burst of weights. */
const BURST_MS = 50;
/** One piece of a chunk, which can thus be sent without further tokens. */
const MIN_BURST_BYTES = 8 * 1024;
const MAX_WAIT_MS = 20;

export interface LinkRateLimiter {
  /** Resolves, in the order of the calls, when the bucket has tokens. */
  waitForBandwidth(): Promise<void>;
  /** Consumes tokens for bytes that `readTransferredBytes` does not include. */
  charge(bytes: number): void;
  close(): void;
}

export interface LinkRateLimiterOptions {
  /** Read on each use, because a new document can change the rate. */
  readonly readBytesPerS: () => number;
  /** Total bytes transferred on the link so far. */
  readonly readTransferredBytes: () => number;
  readonly nowMs: () => number;
}

export function createLinkRateLimiter(
  options: LinkRateLimiterOptions,
): LinkRateLimiter {
  const { readBytesPerS, readTransferredBytes, nowMs } = options;
  const waiters: (() => void)[] = [];
  let availableBytes = 0;
  let countedBytes = readTransferredBytes();
  let refilledAtMs = nowMs();
  let timer: NodeJS.Timeout | undefined;
  let isClosed = false;

  function refill() {
    const rate = readBytesPerS();
    const now = nowMs();
    const total = readTransferredBytes();
    const burst = Math.max(MIN_BURST_BYTES, (rate * BURST_MS) / 1000);
    const gained = (rate * (now - refilledAtMs)) / 1000;
    availableBytes =
      Math.min(burst, availableBytes + gained) - (total - countedBytes);
    refilledAtMs = now;
    countedBytes = total;
    return rate;
  }

  function releaseNext() {
    timer = undefined;
    if (waiters.length === 0) return;
    const rate = refill();
    if (isClosed || availableBytes >= 0) {
      waiters.shift()!();
      // The resumed task sends in a microtask; its bytes must be counted
      // before the next task is resumed.
      setImmediate(schedule);
      return;
    }
    const waitMs = Math.min(MAX_WAIT_MS, (-availableBytes / rate) * 1000);
    timer = setTimeout(releaseNext, Math.max(1, waitMs));
    timer.unref();
  }

  function schedule() {
    if (timer === undefined) releaseNext();
  }

  return {
    waitForBandwidth() {
      return new Promise((resolve) => {
        waiters.push(resolve);
        if (waiters.length === 1) schedule();
      });
    },
    charge(bytes) {
      availableBytes -= bytes;
    },
    close() {
      isClosed = true;
      clearTimeout(timer);
      waiters.splice(0).forEach((resume) => resume());
    },
  };
}
