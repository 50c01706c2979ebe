/**
 * Token bucket of one direction of the host's link. Everything that crosses
 * the link is charged to it; only weights wait for it, so that they use the
 * bandwidth that live requests leave.
 */

/** Short, so that weights leave no long queue ahead of live traffic. */
const BURST_MS = 50;
/** One piece of a chunk can always be sent without waiting for more tokens. */
const MIN_BURST_BYTES = 8 * 1024;
const MAX_WAIT_MS = 20;

export interface LinkBucket {
  /** Resolves, in order of the calls, when the link has room. */
  waitForRoom(): Promise<void>;
  /** Charges bytes that `readChargedBytes` does not see. */
  charge(bytes: number): void;
  close(): void;
}

export interface LinkBucketOptions {
  /** Read on each use, because the document may change it. */
  readonly readBytesPerS: () => number;
  /** Total of the bytes that have crossed the link so far. */
  readonly readChargedBytes: () => number;
  readonly nowMs: () => number;
}

export function createLinkBucket(options: LinkBucketOptions): LinkBucket {
  const { readBytesPerS, readChargedBytes, nowMs } = options;
  const waiters: (() => void)[] = [];
  let levelBytes = 0;
  let chargedBytes = readChargedBytes();
  let refilledAtMs = nowMs();
  let timer: NodeJS.Timeout | undefined;
  let closed = false;

  function refill() {
    const rate = readBytesPerS();
    const now = nowMs();
    const total = readChargedBytes();
    const burst = Math.max(MIN_BURST_BYTES, (rate * BURST_MS) / 1000);
    const gained = (rate * (now - refilledAtMs)) / 1000;
    levelBytes = Math.min(burst, levelBytes + gained) - (total - chargedBytes);
    refilledAtMs = now;
    chargedBytes = total;
    return rate;
  }

  function pump() {
    timer = undefined;
    if (waiters.length === 0) return;
    const rate = refill();
    if (closed || levelBytes >= 0) {
      waiters.shift()!();
      // The released task sends in a microtask; its bytes must be charged
      // before the next one is considered.
      setImmediate(schedule);
      return;
    }
    const waitMs = Math.min(MAX_WAIT_MS, (-levelBytes / rate) * 1000);
    timer = setTimeout(pump, Math.max(1, waitMs));
    timer.unref();
  }

  function schedule() {
    if (timer === undefined) pump();
  }

  return {
    waitForRoom() {
      return new Promise((resolve) => {
        waiters.push(resolve);
        if (waiters.length === 1) schedule();
      });
    },
    charge(bytes) {
      levelBytes -= bytes;
    },
    close() {
      closed = true;
      clearTimeout(timer);
      waiters.splice(0).forEach((release) => release());
    },
  };
}
