/**
 * Reads one topic from the platform into its snapshot store. Every process
 * reads once at the start. Watchers then long-poll the platform; the others read
 * again only if no peer has confirmed their version for some time.
 */

import type { Clock } from "../membership/mod.ts";
import { createBackoff, delay } from "../platform/mod.ts";
import type { Backoff, PlatformRead, PlatformValue } from "../platform/mod.ts";
import type { SnapshotStore } from "../snapshots/mod.ts";

/**
 * Each response to a watch confirms the version, so this has to be well below
 * the confirmation timeout after which other processes read the platform.
 */
const DEFAULT_WATCH_WAIT_MS = 10_000;
/**
 * If the platform's 204 responses name no version, only a read of the value
 * confirms the version held. At this interval, values of up to 1 MB take less
 * than 2 KB/s. It need not be shorter, as a runner may accept keys for hours
 * after the last confirmation.
 */
const VALUE_READ_INTERVAL_MS = 600_000;
/** A platform that responds sooner holds no watch open; reads then back off. */
const MIN_WATCH_MS = 1_000;
const WATCH_BACKOFF = { firstMs: 200, maxMs: 2_000 };
/** At this limit, 4,100 processes without a value cause about 820 reads/s. */
const START_BACKOFF = { firstMs: 200, maxMs: 10_000 };

export interface PlatformReader {
  /** Reads at once; true if the platform has the version held or a newer one. */
  readNow(): Promise<boolean>;
  /** True once the first read has ended, successfully or not. */
  isFirstReadDone(): boolean;
  /** To be called when the set of watchers may have changed. */
  update(): void;
  close(): void;
}

type ReadOutcome =
  /** The platform has a newer value, which may be invalid. */
  | "newer"
  /** The platform has the version already known. */
  | "confirmed"
  /** The platform has nothing newer, but the response names no version. */
  | "unconfirmed"
  /** Another version that is not newer; another read would return the same. */
  | "stale"
  | "failed";

export interface PlatformReaderOptions {
  readonly store: SnapshotStore;
  readonly read: PlatformRead;
  readonly isWatcher: () => boolean;
  readonly onFirstRead: () => void;
  readonly clock: Clock;
  /** Upper bound of the random delay before the first read. */
  readonly startJitterMs: number;
  /** Time for which the platform holds a watch open; 10 s by default. */
  readonly watchWaitMs?: number | undefined;
  /** A process without a confirmation for this time reads the platform. */
  readonly confirmationTimeoutMs: number;
}

export function createPlatformReader(
  options: PlatformReaderOptions,
): PlatformReader {
  const { store, read, isWatcher, clock, confirmationTimeoutMs } = options;
  const watchWaitMs = options.watchWaitMs ?? DEFAULT_WATCH_WAIT_MS;
  const shutdownController = new AbortController();
  let isFirstReadDone = false;
  /** Aborts the wait or watch in progress when `isWatcher` changes. */
  let waitController = new AbortController();
  let wasWatcher = false;

  async function readOnce(
    waitMs: number,
    signal: AbortSignal,
  ): Promise<ReadOutcome> {
    const after = store.knownVersion();
    const startedAtMs = clock.wallMs();
    const response = await read({ after, waitMs, signal });
    if (response.isErr()) return "failed";
    if (response.value.type === "value") {
      offerValue(response.value, startedAtMs);
      return store.knownVersion() > after ? "newer" : "stale";
    }
    const { version } = response.value;
    if (version === undefined) return "unconfirmed";
    if (version < after) {
      store.reject("older_version", { version, knownVersion: after });
    }
    if (version !== after) return "stale";
    // If a pause of this process delayed the response, the platform still sent
    // it no later than the end of the wait.
    const confirmedAtMs = Math.min(clock.wallMs(), startedAtMs + waitMs);
    store.confirm(version, confirmedAtMs);
    return "confirmed";
  }

  /** Requests the version held, which a stale platform does not have. */
  async function readHeldValue(signal: AbortSignal): Promise<ReadOutcome> {
    const held = store.held()?.version;
    if (held === undefined || held !== store.knownVersion()) {
      return "unconfirmed";
    }
    const startedAtMs = clock.wallMs();
    const response = await read({ after: held - 1, waitMs: 0, signal });
    if (response.isErr()) return "failed";
    if (response.value.type === "unchanged") return "stale";
    offerValue(response.value, startedAtMs);
    if (store.knownVersion() > held) return "newer";
    return response.value.version === held ? "confirmed" : "stale";
  }

  function offerValue(value: PlatformValue, startedAtMs: number) {
    const { version, publishedAtMs, text } = value;
    const confirmedAtMs = Math.max(
      startedAtMs,
      Math.min(publishedAtMs, clock.wallMs()),
    );
    store.offer({
      version,
      publishedAtMs,
      confirmedAtMs,
      bytes: Buffer.from(text, "utf8"),
    });
  }

  /** Reads the value itself only if the last confirmation is old. */
  async function readAndConfirm(
    waitMs: number,
    signal: AbortSignal,
  ): Promise<ReadOutcome> {
    const outcome = await readOnce(waitMs, signal);
    const ageMs = clock.wallMs() - store.confirmedAtMs();
    if (outcome !== "unconfirmed" || ageMs < VALUE_READ_INTERVAL_MS)
      return outcome;
    return readHeldValue(signal);
  }

  async function watch(signal: AbortSignal, backoff: Backoff) {
    const startedAtMs = clock.monotonicMs();
    const outcome = await readAndConfirm(watchWaitMs, signal);
    const tookMs = clock.monotonicMs() - startedAtMs;
    if (outcome === "newer") return backoff.reset();
    if (outcome !== "failed" && tookMs >= MIN_WATCH_MS) {
      return backoff.reset();
    }
    await delay(backoff.nextMs(), signal);
  }

  async function run() {
    await delay(
      Math.random() * options.startJitterMs,
      shutdownController.signal,
    );
    await readOnce(0, shutdownController.signal);
    isFirstReadDone = true;
    options.onFirstRead();
    const watchBackoff = createBackoff(WATCH_BACKOFF);
    const startBackoff = createBackoff(START_BACKOFF);
    while (!shutdownController.signal.aborted) {
      waitController = new AbortController();
      const { signal } = waitController;
      wasWatcher = isWatcher();
      if (wasWatcher) {
        await watch(signal, watchBackoff);
      } else if (store.held() === undefined) {
        await delay(startBackoff.nextMs(), signal);
        if (!signal.aborted) await readOnce(0, signal);
      } else {
        await readWhenUnconfirmed(signal);
      }
    }
  }

  async function readWhenUnconfirmed(signal: AbortSignal) {
    const ageMs = Math.max(0, clock.wallMs() - store.confirmedAtMs());
    const remainingMs = confirmationTimeoutMs - ageMs;
    if (remainingMs > 0) {
      // The jitter spreads the reads of processes whose confirmations stopped
      // at the same time.
      await delay(
        remainingMs + Math.random() * 0.2 * confirmationTimeoutMs,
        signal,
      );
      return;
    }
    await readAndConfirm(0, signal);
    // While the platform is down, each process retries about once per timeout.
    const isConfirmed =
      clock.wallMs() - store.confirmedAtMs() < confirmationTimeoutMs;
    if (!isConfirmed) {
      await delay((0.8 + 0.4 * Math.random()) * confirmationTimeoutMs, signal);
    }
  }

  void run();

  return {
    async readNow() {
      const { signal } = shutdownController;
      const firstOutcome = await readOnce(0, signal);
      const outcome =
        firstOutcome === "unconfirmed"
          ? await readHeldValue(signal)
          : firstOutcome;
      return outcome === "newer" || outcome === "confirmed";
    },
    isFirstReadDone: () => isFirstReadDone,
    update() {
      if (isFirstReadDone && isWatcher() !== wasWatcher) waitController.abort();
    },
    close() {
      shutdownController.abort();
      waitController.abort();
    },
  };
}
