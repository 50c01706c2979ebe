import { afterEach, describe, expect, test } from "@jest/globals";
import { ok } from "neverthrow";
import { createRegistry } from "../metrics/mod.ts";
import type { PlatformResponse, ReadOptions } from "../platform/mod.ts";
import { createSnapshotStore } from "../snapshots/mod.ts";
import { createPlatformReader } from "./platform_reader.ts";
import { SILENT_LOGGER } from "./testing/start_fleet.ts";

const HELD_VERSION = 7;
const START_MS = 1_000_000_000;
const VALUE_READ_INTERVAL_MS = 600_000;

const closers: (() => void)[] = [];
afterEach(() => closers.splice(0).forEach((close) => close()));

function runOtherTasks(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

function createValue(version: number): PlatformResponse {
  return { type: "value", version, publishedAtMs: 0, text: `v${version}` };
}

/** Starts a reader that holds version 7, confirmed at the start. */
async function startReader(
  respond: (options: ReadOptions) => PlatformResponse,
  isWatcher = false,
) {
  let nowMs = START_MS;
  const clock = { wallMs: () => nowMs, monotonicMs: () => nowMs };
  const store = createSnapshotStore("config", {
    parse: (text: string) => ok(text),
    clock,
    registry: createRegistry(),
    logger: SILENT_LOGGER,
  });
  const reads: ReadOptions[] = [];
  let isFirst = true;
  let resolveFirstRead: () => void;
  const firstRead = new Promise<void>(
    (resolve) => (resolveFirstRead = resolve),
  );
  const reader = createPlatformReader({
    store,
    read: async (options) => {
      if (isFirst) {
        isFirst = false;
        return ok(createValue(HELD_VERSION));
      }
      // Responds asynchronously, as a network does.
      await runOtherTasks();
      reads.push(options);
      return ok(respond(options));
    },
    isWatcher: () => isWatcher,
    onFirstRead: () => resolveFirstRead(),
    clock,
    startJitterMs: 0,
    confirmationTimeoutMs: 10 * VALUE_READ_INTERVAL_MS,
  });
  closers.push(reader.close);
  await firstRead;
  return {
    reader,
    store,
    reads,
    advanceMs: (ms: number) => {
      nowMs += ms;
      return nowMs;
    },
  };
}

describe("a platform without a newer version", () => {
  // Guards against a stale platform that confirms an old version: the check
  // after a pause would end, and runners would accept keys for another day.
  test.each<{ name: string; version: number; isConfirmed: boolean }>([
    { name: "the version held", version: HELD_VERSION, isConfirmed: true },
    { name: "an older version", version: HELD_VERSION - 1, isConfirmed: false },
    { name: "no version yet", version: 0, isConfirmed: false },
    { name: "a newer version", version: HELD_VERSION + 1, isConfirmed: false },
  ])("confirms by $name: $isConfirmed", async ({ version, isConfirmed }) => {
    const { reader, store, advanceMs } = await startReader(() => ({
      type: "unchanged",
      version,
    }));
    const nowMs = advanceMs(5_000);
    expect(await reader.readNow()).toBe(isConfirmed);
    expect(store.confirmedAtMs()).toBe(isConfirmed ? nowMs : START_MS);
    expect(store.held()?.version).toBe(HELD_VERSION);
  });

  // Guards against a platform without the version header, whose responses would
  // never confirm a version.
  test.each<{ platform: number; isConfirmed: boolean }>([
    { platform: HELD_VERSION, isConfirmed: true },
    { platform: HELD_VERSION - 1, isConfirmed: false },
  ])(
    "is read for the value if its 204 names no version: $platform confirms $isConfirmed",
    async ({ platform, isConfirmed }) => {
      const { reader, store, reads, advanceMs } = await startReader(
        ({ after }) =>
          platform > after ? createValue(platform) : { type: "unchanged" },
      );
      const nowMs = advanceMs(5_000);
      expect(await reader.readNow()).toBe(isConfirmed);
      expect(reads.map(({ after }) => after)).toEqual([
        HELD_VERSION,
        HELD_VERSION - 1,
      ]);
      expect(store.confirmedAtMs()).toBe(isConfirmed ? nowMs : START_MS);
    },
  );

  // Guards against watchers that read the value every few seconds.
  test("is read for the value by a watcher only every ten minutes", async () => {
    const { store, reads, advanceMs } = await startReader(({ after }) => {
      if (after < HELD_VERSION) return createValue(HELD_VERSION);
      // The platform holds a watch for a minute.
      advanceMs(60_000);
      return { type: "unchanged" };
    }, true);
    while (store.confirmedAtMs() === START_MS) {
      await runOtherTasks();
    }
    const watches = reads.filter(({ after }) => after === HELD_VERSION);
    expect(watches).toHaveLength(VALUE_READ_INTERVAL_MS / 60_000);
    expect(store.confirmedAtMs()).toBe(START_MS + VALUE_READ_INTERVAL_MS);
  });
});
