/**
 * Keeps the directory up to date from the store. A watch brings each change
 * soon; each of its answers proves that nothing was missed before the question.
 * While it is silent, a small linearizable read of the store's revision proves
 * it every second, because a watch can fall silent without an error.
 */

import type { Logger } from "../logging/mod.ts";
import type { Registry } from "../metrics/mod.ts";
import { createBackoff, delay } from "../platform/mod.ts";
import type { AgeClock } from "./age_clock.ts";
import type { Directory } from "./directory.ts";
import type { MetadataStore, StoreFailure } from "./store.ts";
import { createStoreOutageTracker } from "./store_outage_tracker.ts";

const WATCH_WAIT_MS = 10_000;
/** Half of the tightest bound on a configuration's delay, 2 s. */
const PROBE_INTERVAL_MS = 1_000;
/** A watch that has not shown a change after this is taken for silent. */
const WATCH_LAG_MS = 250;
/**
 * Endpoints change their entries dozens of times a second in a large fleet,
 * and each change would end a watch. A sixth of the tightest bound on a
 * configuration's delay, 2 s.
 */
export const MIN_WATCH_INTERVAL_MS = 300;
/**
 * The store may cut a long answer. One with fewer changes than the smallest
 * page, 50, is taken to be complete.
 */
const MAX_COMPLETE_CHANGES = 49;
const FIRST_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 500;
/**
 * Entries that lapse with the store are removed while it is away and seen as
 * removed when it is back, so removals this long after a failure are doubted.
 */
const EXPIRY_WINDOW_MS = 3_000;

export interface DirectoryReader {
  /** Compares revisions at once, after a pause or a jump of the clock. */
  probeNow(): void;
  mayHaveLapsed(): boolean;
  /** Time over which every question to the store has failed. */
  storeAbsentMs(): number;
  close(): void;
}

export interface DirectoryReaderOptions {
  readonly store: MetadataStore;
  readonly directory: Directory;
  readonly clock: AgeClock;
  readonly registry: Registry;
  readonly logger: Logger;
}

interface PendingConfirmation {
  readonly revision: number;
  readonly sentAtMs: number;
}

export function startDirectoryReader(
  options: DirectoryReaderOptions,
): DirectoryReader {
  const { store, directory, clock, logger } = options;
  const closing = new AbortController();
  const backoff = createBackoff({
    firstMs: FIRST_BACKOFF_MS,
    maxMs: MAX_BACKOFF_MS,
  });
  const rereads = options.registry.counter(
    "directory_rereads_total",
    "Complete reads of the published state by reason",
  );
  let watchController: AbortController | undefined;
  let pending: readonly PendingConfirmation[] = [];
  let isLost = false;
  let lastFailureAtMs = -Infinity;
  const outage = createStoreOutageTracker(() => performance.now());
  let nextWatchAtMs = -Infinity;
  /** On the age clock; of answers of the store, not of peers. */
  let storeConfirmedAtMs = -Infinity;
  let rereadReason = "start";
  let probeTimer: NodeJS.Timeout | undefined;

  function recordOutcome(failure: StoreFailure | undefined) {
    if (failure === "aborted") return;
    if (failure !== undefined && failure !== "compacted") {
      lastFailureAtMs = performance.now();
      outage.recordFailure();
    } else outage.recordSuccess();
    const isNowLost = failure !== undefined;
    if (isNowLost === isLost) return;
    isLost = isNowLost;
    const age = { failure, ageMs: directory.ageMs() };
    if (isLost) logger.warn(age, "lost the platform's store");
    else logger.info(age, "regained the platform's store");
  }

  function confirm(atMs: number) {
    storeConfirmedAtMs = Math.max(storeConfirmedAtMs, atMs);
    directory.confirm(atMs);
  }

  function confirmReachedRevisions() {
    const revision = directory.revision();
    pending
      .filter((item) => item.revision <= revision)
      .forEach((item) => confirm(item.sentAtMs));
    pending = pending.filter((item) => item.revision > revision);
  }

  async function rereadAll(): Promise<StoreFailure | undefined> {
    const sentAtMs = clock.nowMs();
    rereads.increment({ reason: rereadReason });
    const result = await store.readAll();
    if (result.isErr()) return result.error;
    rereadReason = "";
    directory.replace(result.value.changes, result.value.revision);
    confirm(sentAtMs);
    confirmReachedRevisions();
    return undefined;
  }

  async function watchOnce(): Promise<StoreFailure | undefined> {
    const controller = new AbortController();
    watchController = controller;
    const sentAtMs = clock.nowMs();
    nextWatchAtMs = performance.now() + MIN_WATCH_INTERVAL_MS;
    const result = await store.watch({
      afterRevision: directory.revision(),
      waitMs: WATCH_WAIT_MS,
      signal: controller.signal,
    });
    if (result.isErr()) {
      if (result.error === "compacted") rereadReason = "compacted";
      return result.error;
    }
    const { changes, revision } = result.value;
    directory.apply(changes, revision, clock.nowMs());
    if (changes.length <= MAX_COMPLETE_CHANGES) confirm(sentAtMs);
    confirmReachedRevisions();
    await delay(computePauseMs(), closing.signal);
    return undefined;
  }

  /** Time until the next watch may be sent. */
  function computePauseMs(): number {
    return Math.max(0, nextWatchAtMs - performance.now());
  }

  async function runWatchLoop() {
    while (!closing.signal.aborted) {
      const failure = await (rereadReason === "" ? watchOnce() : rereadAll());
      recordOutcome(failure);
      if (failure === undefined || failure === "compacted") backoff.reset();
      else if (failure !== "aborted") {
        await delay(backoff.nextMs(), closing.signal);
      }
    }
  }

  async function probe() {
    const sentAtMs = clock.nowMs();
    const result = await store.readRevision();
    if (closing.signal.aborted) return;
    if (result.isErr()) return recordOutcome(result.error);
    outage.recordSuccess();
    const revision = result.value;
    pending = [...pending, { revision, sentAtMs }];
    confirmReachedRevisions();
    if (directory.revision() >= revision) return;
    await delay(computePauseMs() + WATCH_LAG_MS, closing.signal);
    if (directory.revision() >= revision) return;
    logger.warn(
      { revision, held: directory.revision(), ageMs: directory.ageMs() },
      "the watch of the store is behind; reading everything again",
    );
    rereadReason = "behind";
    watchController?.abort();
  }

  function scheduleProbe(delayMs: number) {
    clearTimeout(probeTimer);
    probeTimer = setTimeout(() => {
      const remainingMs =
        PROBE_INTERVAL_MS - (clock.nowMs() - storeConfirmedAtMs);
      // A watch that was answered meanwhile has confirmed the state.
      if (delayMs > 0 && remainingMs > 0) return scheduleProbe(remainingMs);
      scheduleProbe(PROBE_INTERVAL_MS);
      void probe();
    }, delayMs);
  }

  void runWatchLoop();
  scheduleProbe(PROBE_INTERVAL_MS);
  return {
    probeNow() {
      outage.reset();
      scheduleProbe(0);
    },
    storeAbsentMs: outage.durationMs,
    mayHaveLapsed: () => performance.now() - lastFailureAtMs < EXPIRY_WINDOW_MS,
    close() {
      closing.abort();
      watchController?.abort();
      clearTimeout(probeTimer);
    },
  };
}
