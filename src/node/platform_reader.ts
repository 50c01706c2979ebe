/**
 * Reads one topic from the platform into its store. Every process reads once
 * at start. Watchers then keep a long poll open; the others read again only
 * when no confirmation has reached them for a while.
 */

import type { Clock } from "../membership/mod.ts";
import { createBackoff, delay } from "../platform/mod.ts";
import type { Backoff, PlatformRead, PlatformValue } from "../platform/mod.ts";
import type { SnapshotStore } from "../snapshots/mod.ts";

/**
 * Each answer of a watch confirms the version, so this has to stay well below
 * the time after which other processes read for themselves.
 */
const DEFAULT_WATCH_WAIT_MS = 10_000;
/**
 * Without a version in its 204, a platform confirms by its value only. Values
 * of up to 1 MB are worth less than 2 KB/s at this interval, and a runner may
 * take keys for hours after the last confirmation.
 */
const VALUE_READ_MS = 600_000;
/** A platform that answers sooner doesn't wait; asking on would be a loop. */
const SHORTEST_WATCH_MS = 1_000;
const WATCH_BACKOFF = { firstMs: 200, maxMs: 2_000 };
/** 4,100 processes without any value make about 820 reads/s at this limit. */
const START_BACKOFF = { firstMs: 200, maxMs: 10_000 };

export interface PlatformReader {
  /** Reads at once; false unless the platform has what is held or newer. */
  readNow(): Promise<boolean>;
  /** True once the first read has succeeded or failed. */
  isSettled(): boolean;
  /** To be called when the set of watchers may have changed. */
  update(): void;
  close(): void;
}

type ReadOutcome =
  /** A value newer than the one known before, valid or not. */
  | "newer"
  /** The platform's version is the one known before. */
  | "confirmed"
  /** Nothing newer, but the platform did not say what it has. */
  | "unconfirmed"
  /** Another version that changes nothing; asking again would return it. */
  | "stale"
  | "failed";

export interface PlatformReaderOptions {
  readonly store: SnapshotStore;
  readonly read: PlatformRead;
  readonly isWatcher: () => boolean;
  readonly onSettled: () => void;
  readonly clock: Clock;
  /** Longest random delay before the read at start. */
  readonly startJitterMs: number;
  /** Time that the platform holds a watch open; 10 s by default. */
  readonly watchWaitMs?: number | undefined;
  /** Without a confirmation for this long, any process reads the platform. */
  readonly unconfirmedMs: number;
}

export function createPlatformReader(
  options: PlatformReaderOptions,
): PlatformReader {
  const { store, read, isWatcher, clock, unconfirmedMs } = options;
  const watchWaitMs = options.watchWaitMs ?? DEFAULT_WATCH_WAIT_MS;
  const closing = new AbortController();
  let isSettled = false;
  /** Aborts the wait or watch in progress when the role changes. */
  let turn = new AbortController();
  let wasWatcher = false;

  async function readOnce(
    waitMs: number,
    signal: AbortSignal,
  ): Promise<ReadOutcome> {
    const after = store.knownVersion();
    const startedAtMs = clock.wallMs();
    const answer = await read({ after, waitMs, signal });
    if (answer.isErr()) return "failed";
    if (answer.value.type === "value") {
      acceptValue(answer.value, startedAtMs);
      return store.knownVersion() > after ? "newer" : "stale";
    }
    const { version } = answer.value;
    if (version === undefined) return "unconfirmed";
    if (version < after) {
      store.reject("older_version", { version, knownVersion: after });
    }
    if (version !== after) return "stale";
    // A pause of this process may delay the answer; it was made no later
    // than the wait ended.
    const answeredAtMs = Math.min(clock.wallMs(), startedAtMs + waitMs);
    store.confirm(version, answeredAtMs);
    return "confirmed";
  }

  /** Asks for the value that is held, which a stale platform does not have. */
  async function readHeldValue(signal: AbortSignal): Promise<ReadOutcome> {
    const held = store.held()?.version;
    if (held === undefined || held !== store.knownVersion()) {
      return "unconfirmed";
    }
    const startedAtMs = clock.wallMs();
    const answer = await read({ after: held - 1, waitMs: 0, signal });
    if (answer.isErr()) return "failed";
    if (answer.value.type === "unchanged") return "stale";
    acceptValue(answer.value, startedAtMs);
    if (store.knownVersion() > held) return "newer";
    return answer.value.version === held ? "confirmed" : "stale";
  }

  function acceptValue(value: PlatformValue, startedAtMs: number) {
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

  /** Reads that go on for ever ask for the whole value only now and then. */
  async function readAndConfirm(
    waitMs: number,
    signal: AbortSignal,
  ): Promise<ReadOutcome> {
    const outcome = await readOnce(waitMs, signal);
    const ageMs = clock.wallMs() - store.confirmedAtMs();
    if (outcome !== "unconfirmed" || ageMs < VALUE_READ_MS) return outcome;
    return readHeldValue(signal);
  }

  async function watch(signal: AbortSignal, backoff: Backoff) {
    const startedAtMs = clock.monotonicMs();
    const outcome = await readAndConfirm(watchWaitMs, signal);
    const tookMs = clock.monotonicMs() - startedAtMs;
    if (outcome === "newer") return backoff.reset();
    if (outcome !== "failed" && tookMs >= SHORTEST_WATCH_MS) {
      return backoff.reset();
    }
    await delay(backoff.nextMs(), signal);
  }

  async function run() {
    await delay(Math.random() * options.startJitterMs, closing.signal);
    await readOnce(0, closing.signal);
    isSettled = true;
    options.onSettled();
    const watchBackoff = createBackoff(WATCH_BACKOFF);
    const startBackoff = createBackoff(START_BACKOFF);
    while (!closing.signal.aborted) {
      turn = new AbortController();
      const { signal } = turn;
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
    const restMs = unconfirmedMs - ageMs;
    if (restMs > 0) {
      // The jitter spreads the reads of processes that lost their source
      // together.
      await delay(restMs + Math.random() * 0.2 * unconfirmedMs, signal);
      return;
    }
    await readAndConfirm(0, signal);
    // With the platform down, each process asks again once in this time.
    const isConfirmed = clock.wallMs() - store.confirmedAtMs() < unconfirmedMs;
    if (!isConfirmed) {
      await delay((0.8 + 0.4 * Math.random()) * unconfirmedMs, signal);
    }
  }

  void run();

  return {
    async readNow() {
      const { signal } = closing;
      const told = await readOnce(0, signal);
      const outcome =
        told === "unconfirmed" ? await readHeldValue(signal) : told;
      return outcome === "newer" || outcome === "confirmed";
    },
    isSettled: () => isSettled,
    update() {
      if (isSettled && isWatcher() !== wasWatcher) turn.abort();
    },
    close() {
      closing.abort();
      turn.abort();
    },
  };
}
