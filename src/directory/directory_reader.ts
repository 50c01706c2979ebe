/**
 * Keeps the directory up to date from the metadata store. A watch over
 * everything returns changes promptly, and each of its responses proves that the
 * directory was complete when the request was sent. While the watch returns
 * nothing, a linearizable read of the store's revision proves this every second,
 * because a watch can stop delivering without an error. If such a read gets no
 * response but a later one does, connections have gone silent, and the watches
 * are sent again. Watch and reads rest while other processes provide changes and
 * proof; what operators publish has a watch of its own that never rests.
 */

import type { Logger } from "../logging/mod.ts";
import type { Registry } from "../metrics/mod.ts";
import { createBackoff, delay } from "../platform/mod.ts";
import type { AgeClock } from "./age_clock.ts";
import type { Directory } from "./directory.ts";
import type { MetadataStore, StoreFailure } from "./store.ts";
import { comparePositions, isSameEra } from "./store_position.ts";
import type { StorePosition } from "./store_position.ts";
import { runOperatorWatch } from "./operator_watch.ts";
import type { DirectoryChange } from "./records.ts";
import { createStoreContact, isAnswer } from "./store_contact.ts";
import type { OutageSpan } from "./store_outage.ts";

const WATCH_WAIT_MS = 10_000;
/** Half of the shortest limit on the delay of a configuration, 2 s. */
const PROBE_INTERVAL_MS = 1_000;
/**
 * Part of the interval by which that of a process may be shorter, so that the
 * processes read the store at different times. The latest of these reads bounds
 * the publication of a version.
 */
const PROBE_INTERVAL_SPREAD = 0.2;
/** A watch that has not returned a known change by then counts as stuck. */
const WATCH_LAG_MS = 250;
/**
 * In a large fleet endpoints change their records dozens of times a second, and
 * each change ends a watch. About a sixth of the shortest limit on the delay of the
 * notice that an endpoint leaves, 2 s.
 */
const MIN_WATCH_INTERVAL_MS = 350;
/**
 * Part of the interval by which each may be shorter. Readers that start together
 * would else read at the same times, and none learn of a change before the rest.
 */
const WATCH_INTERVAL_SPREAD = 0.15;
/**
 * The store may truncate a long response. One with fewer changes than the
 * smallest page, 50, is complete.
 */
const MAX_COMPLETE_CHANGES = 49;
const FIRST_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 500;
const MAX_REREAD_BACKOFF_MS = 4_000;
export interface DirectoryReader {
  /** Reads the store's revision now, after a pause or a jump of the clock. */
  probeNow(): void;
  /** Reads again: `isFed` has turned false. */
  resume(): void;
  /** False while calls to the store fail. */
  isInContact(): boolean;
  /** Time for which a removal may still be due to a store outage; 0 for none. */
  expiryWindowMs(): number;
  /**
   * Period in which all requests to the store have failed, on the age clock.
   */
  storeOutage(): OutageSpan | undefined;
  close(): void;
}

export interface DirectoryReaderOptions {
  readonly store: MetadataStore;
  readonly directory: Directory;
  readonly clock: AgeClock;
  readonly registry: Registry;
  readonly logger: Logger;
  /** True while other processes provide changes and proof of the copy's age. */
  readonly isFed?: () => boolean;
  /** Called with changes of the store that were new to this process. */
  readonly onNews?: (changes: readonly DirectoryChange[]) => void;
  /** Called when contact to the store is lost or regained. */
  readonly onContactChange?: () => void;
  /** In [0, 1). */
  readonly random?: () => number;
}

interface PendingConfirmation extends StorePosition {
  readonly sentAtMs: number;
}

export function startDirectoryReader(
  options: DirectoryReaderOptions,
): DirectoryReader {
  const { store, directory, clock, logger, random = Math.random } = options;
  const { isFed = () => false, onNews = () => {} } = options;
  const probeIntervalMs =
    PROBE_INTERVAL_MS * (1 - PROBE_INTERVAL_SPREAD * random());
  const closeController = new AbortController();
  const backoff = createBackoff({
    firstMs: FIRST_BACKOFF_MS,
    maxMs: MAX_BACKOFF_MS,
  });
  const rereads = options.registry.counter(
    "directory_rereads_total",
    "Complete reads of the published state by reason",
  );
  let watchController: AbortController | undefined;
  let pendingConfirmations: readonly PendingConfirmation[] = [];
  const contact = createStoreContact({
    ...{ clock, logger, ageMs: directory.ageMs },
    onChange: () => options.onContactChange?.(),
  });
  let nextWatchAtMs = -Infinity;
  /** On the age clock; confirmations by the store only, not by peers. */
  let storeConfirmedAtMs = -Infinity;
  const rereadBackoff = createBackoff({
    firstMs: FIRST_BACKOFF_MS,
    maxMs: MAX_REREAD_BACKOFF_MS,
  });
  let rereadReason = "start";
  /** True if the last complete read did not fail for want of an answer. */
  let wasAnswered = false;
  let probeTimer: NodeJS.Timeout | undefined;
  let isWatchingOperators = false;
  let operatorWatchController = new AbortController();
  /** On the age clock: when the last read without a response was sent. */
  let unansweredSentAtMs: number | undefined;
  let wakeWatchLoop = () => {};

  function confirm(atMs: number) {
    if (atMs >= directory.settledSinceMs()) {
      storeConfirmedAtMs = Math.max(storeConfirmedAtMs, atMs);
    }
    directory.confirmFromStore(atMs);
  }

  /** An answer of another era does not confirm this one. */
  function confirmReachedPositions() {
    const held = directory.position();
    pendingConfirmations
      .filter((item) => isSameEra(item, held) && item.revision <= held.revision)
      .forEach((item) => confirm(item.sentAtMs));
    pendingConfirmations = pendingConfirmations.filter(
      (item) => comparePositions(item, held) > 0,
    );
  }

  /**
   * Another complete read without a watch in between waits, because at a large
   * site all processes read at once and each read takes many calls.
   */
  async function rereadAll(): Promise<StoreFailure | undefined> {
    if (wasAnswered) {
      await delay(rereadBackoff.nextMs(), closeController.signal);
      if (closeController.signal.aborted) return "aborted";
    }
    const sentAtMs = clock.nowMs();
    rereads.increment({ reason: rereadReason });
    const result = await store.readAll();
    wasAnswered = result.isOk() || isAnswer(result.error);
    if (result.isErr()) return result.error;
    rereadReason = "";
    directory.replace(result.value.changes, result.value);
    if (isSameEra(result.value, directory.position())) confirm(sentAtMs);
    confirmReachedPositions();
    watchOperators();
    return undefined;
  }

  /** Once there is a position to start from. */
  function watchOperators() {
    if (isWatchingOperators) return;
    isWatchingOperators = true;
    void runOperatorWatch({
      ...{ store, directory, clock, requestReread },
      signal: closeController.signal,
      openWatchSignal() {
        operatorWatchController = new AbortController();
        return operatorWatchController.signal;
      },
      guard: runGuarded,
      onOutcome: contact.recordOutcome,
      onChanges: onNews,
    });
  }

  function requestReread(reason: string) {
    rereadReason = reason;
    watchController?.abort();
    wakeWatchLoop();
  }

  async function watchOnce(): Promise<StoreFailure | undefined> {
    const controller = new AbortController();
    watchController = controller;
    const sentAtMs = clock.nowMs();
    nextWatchAtMs =
      performance.now() +
      MIN_WATCH_INTERVAL_MS * (1 - WATCH_INTERVAL_SPREAD * random());
    const asked = directory.position();
    const result = await store.watch({
      scope: "everything",
      afterRevision: asked.revision,
      waitMs: WATCH_WAIT_MS,
      signal: controller.signal,
    });
    if (result.isErr()) {
      if (result.error === "compacted") rereadReason = "compacted";
      return result.error;
    }
    const { changes } = result.value;
    if (!isSameEra(result.value, asked)) {
      // Changes of lower revisions than the asked one are missing from it.
      rereadReason = "new_era";
      return undefined;
    }
    rereadBackoff.reset();
    const news = directory.apply(changes, result.value);
    const isCurrent = isSameEra(asked, directory.position());
    if (isCurrent && changes.length <= MAX_COMPLETE_CHANGES) confirm(sentAtMs);
    confirmReachedPositions();
    onNews(news);
    await delay(computePauseMs(), closeController.signal);
    return undefined;
  }

  /** Time until the next watch may be sent. */
  function computePauseMs(): number {
    return Math.max(0, nextWatchAtMs - performance.now());
  }

  /** An exception would end the loop, and with it the process. */
  async function runGuarded(
    read: () => Promise<StoreFailure | undefined>,
  ): Promise<StoreFailure | undefined> {
    try {
      return await read();
    } catch (error) {
      logger.error({ err: error }, "failed to read the published state");
      return "malformed";
    }
  }

  async function waitWhileFed() {
    if (rereadReason !== "" || !isFed()) return;
    await new Promise<void>((resolve) => (wakeWatchLoop = resolve));
  }

  async function runWatchLoop() {
    while (!closeController.signal.aborted) {
      await waitWhileFed();
      const sentAtMs = clock.nowMs();
      const failure = await runGuarded(
        rereadReason === "" ? watchOnce : rereadAll,
      );
      contact.recordOutcome(failure, sentAtMs);
      if (failure === undefined || isAnswer(failure)) backoff.reset();
      else if (failure !== "aborted") {
        await delay(backoff.nextMs(), closeController.signal);
      }
    }
  }

  function hasReached(position: StorePosition): boolean {
    return comparePositions(directory.position(), position) >= 0;
  }

  /** The store answers, so watches that it does not answer may be silent. */
  function resendSilentWatches() {
    if (unansweredSentAtMs === undefined) return;
    logger.info(
      { silentMs: Math.round(clock.nowMs() - unansweredSentAtMs) },
      "a read of the store had no response and a later one had; sending the watches again",
    );
    unansweredSentAtMs = undefined;
    watchController?.abort();
    operatorWatchController.abort();
  }

  async function probe(): Promise<undefined> {
    const sentAtMs = clock.nowMs();
    const result = await store.readPosition();
    if (closeController.signal.aborted) return;
    if (result.isErr()) {
      if (result.error === "timeout") unansweredSentAtMs = sentAtMs;
      return void contact.recordOutcome(result.error, sentAtMs);
    }
    contact.recordAnswer();
    resendSilentWatches();
    const current = result.value;
    pendingConfirmations = [...pendingConfirmations, { ...current, sentAtMs }];
    confirmReachedPositions();
    if (hasReached(current)) return;
    if (isSameEra(current, directory.position())) {
      await delay(computePauseMs() + WATCH_LAG_MS, closeController.signal);
      if (hasReached(current) || isFed()) return;
    }
    logger.warn(
      {
        ...current,
        held: directory.position(),
        ageMs: directory.ageMs(),
      },
      "store watch is behind the current revision; reading the complete state",
    );
    requestReread("behind");
  }

  /** Not longer than until the store's answers confirm the copy again. */
  function computeProbeIntervalMs(): number {
    const untilSettledMs = directory.settledSinceMs() - clock.nowMs();
    return untilSettledMs > 0
      ? Math.min(probeIntervalMs, untilSettledMs + 1)
      : probeIntervalMs;
  }

  function scheduleProbe(delayMs: number) {
    clearTimeout(probeTimer);
    if (closeController.signal.aborted) return;
    probeTimer = setTimeout(() => {
      const remainingMs =
        probeIntervalMs - (clock.nowMs() - storeConfirmedAtMs);
      // A watch response has confirmed the state in the meantime.
      if (delayMs > 0 && remainingMs > 0) return scheduleProbe(remainingMs);
      if (delayMs > 0 && isFed()) return scheduleProbe(probeIntervalMs);
      scheduleProbe(computeProbeIntervalMs());
      void runGuarded(probe);
    }, delayMs);
  }

  void runWatchLoop();
  scheduleProbe(probeIntervalMs);
  return {
    probeNow() {
      contact.reset();
      scheduleProbe(0);
    },
    resume() {
      wakeWatchLoop();
      // By then, the watch has confirmed the copy unless nothing changes.
      scheduleProbe(WATCH_LAG_MS);
    },
    isInContact: () => !contact.isLost(),
    storeOutage: contact.outage,
    expiryWindowMs: contact.expiryWindowMs,
    close() {
      closeController.abort();
      watchController?.abort();
      operatorWatchController.abort();
      wakeWatchLoop();
      clearTimeout(probeTimer);
    },
  };
}
