/**
 * A watch of what operators publish: configurations, evacuations and wanted
 * weights. It always waits at the store, so each of these rare changes is known
 * as soon as the store answers, however rarely everything is read. It proves
 * nothing: the age of the copy and its position come from the other reads.
 */

import { createBackoff, delay } from "../platform/mod.ts";
import type { AgeClock } from "./age_clock.ts";
import type { Directory } from "./directory.ts";
import type { DirectoryChange } from "./records.ts";
import type { MetadataStore, StoreFailure } from "./store.ts";
import { isAnswer } from "./store_contact.ts";
import { comparePositions, isSameEra, pickPosition } from "./store_position.ts";
import type { StorePosition } from "./store_position.ts";

const WATCH_WAIT_MS = 10_000;
/** After a failure, a short watch tells sooner that the store is back. */
const CONTACT_WAIT_MS = 1;
/**
 * Changes that are published together, as of several models, follow each other
 * within milliseconds. One that comes later waits for at most this time.
 */
const MIN_WATCH_INTERVAL_MS = 60;
/** Watches sent within a second, beyond which they are as rare as others. */
const MAX_WATCHES_PER_S = 5;
const CROWDED_INTERVAL_MS = 350;
const FIRST_BACKOFF_MS = 50;
/** Longer than that of the other reads, which tell of the changes meanwhile. */
const MAX_BACKOFF_MS = 2_000;

export interface OperatorWatchOptions {
  readonly store: MetadataStore;
  readonly directory: Directory;
  readonly clock: AgeClock;
  /** Ends the watch for good. */
  readonly signal: AbortSignal;
  /** Returns a signal that ends the next call, so that another one is sent. */
  readonly openWatchSignal: () => AbortSignal;
  readonly onOutcome: (
    failure: StoreFailure | undefined,
    sentAtMs: number,
  ) => void;
  readonly onChanges: (changes: readonly DirectoryChange[]) => void;
  /** Turns an exception into a failure. */
  readonly guard: (
    read: () => Promise<StoreFailure | undefined>,
  ) => Promise<StoreFailure | undefined>;
  /** The complete state has to be read again. */
  readonly requestReread: (reason: "compacted" | "new_era") => void;
}

/** Runs until the signal is aborted. */
export async function runOperatorWatch(
  options: OperatorWatchOptions,
): Promise<void> {
  const { store, directory, clock, signal, guard } = options;
  const backoff = createBackoff({
    firstMs: FIRST_BACKOFF_MS,
    maxMs: MAX_BACKOFF_MS,
  });
  let reached: StorePosition = directory.position();
  let refused: StorePosition | undefined;
  let hasFailed = false;
  let sentAtMs: readonly number[] = [];

  /** What this process knows completely, or has seen of this watch. */
  function computeStart(): StorePosition {
    const held = directory.position();
    return isSameEra(reached, held) && comparePositions(reached, held) > 0
      ? reached
      : held;
  }

  /** A store that is behind refuses the same position again and again. */
  function onRefused(asked: StorePosition) {
    const isRepeated =
      refused !== undefined && comparePositions(refused, asked) === 0;
    refused = asked;
    if (!isRepeated) options.requestReread("compacted");
  }

  async function watchOnce(): Promise<StoreFailure | undefined> {
    const asked = computeStart();
    const result = await store.watch({
      scope: "operators",
      afterRevision: asked.revision,
      waitMs: hasFailed ? CONTACT_WAIT_MS : WATCH_WAIT_MS,
      signal: options.openWatchSignal(),
    });
    if (result.isErr()) {
      if (result.error === "compacted") onRefused(asked);
      return result.error;
    }
    if (!isSameEra(directory.position(), asked)) return undefined;
    if (!isSameEra(result.value, asked)) {
      options.requestReread("new_era");
      return "mixed_eras";
    }
    reached = pickPosition(result.value);
    // The position stays, because records of endpoints may have changed too.
    options.onChanges(
      directory.apply(result.value.changes, directory.position()),
    );
    return undefined;
  }

  function computePauseMs(): number {
    const now = performance.now();
    sentAtMs = sentAtMs.filter((atMs) => now - atMs < 1_000);
    const intervalMs =
      sentAtMs.length < MAX_WATCHES_PER_S
        ? MIN_WATCH_INTERVAL_MS
        : CROWDED_INTERVAL_MS;
    return Math.max(0, intervalMs - (now - (sentAtMs.at(-1) ?? -Infinity)));
  }

  while (!signal.aborted) {
    const atMs = clock.nowMs();
    sentAtMs = [...sentAtMs, performance.now()];
    const failure = await guard(watchOnce);
    options.onOutcome(failure, atMs);
    // The store answers again if this process has ended the call.
    const isResent = failure === "aborted";
    hasFailed = failure !== undefined && !isResent && !isAnswer(failure);
    if (failure === undefined) backoff.reset();
    await delay(
      failure === undefined || isResent ? computePauseMs() : backoff.nextMs(),
      signal,
    );
  }
}
