import { afterEach, describe, expect, test } from "@jest/globals";
import { ok } from "neverthrow";
import { createRegistry } from "../metrics/mod.ts";
import type { PlatformAnswer, ReadOptions } from "../platform/mod.ts";
import { createSnapshotStore } from "../snapshots/mod.ts";
import { createPlatformReader } from "./platform_reader.ts";
import { SILENT_LOGGER } from "./testing/start_fleet.ts";

const HELD = 7;
const START_MS = 1_000_000_000;
const VALUE_READ_MS = 600_000;

const closers: (() => void)[] = [];
afterEach(() => closers.splice(0).forEach((close) => close()));

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

function createValue(version: number): PlatformAnswer {
  return { type: "value", version, publishedAtMs: 0, text: `v${version}` };
}

/** A reader that holds version 7, confirmed at the start. */
async function startReader(
  answer: (options: ReadOptions) => PlatformAnswer,
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
  const asked: ReadOptions[] = [];
  let isFirst = true;
  let settle: () => void;
  const settled = new Promise<void>((resolve) => (settle = resolve));
  const reader = createPlatformReader({
    store,
    read: async (options) => {
      if (isFirst) {
        isFirst = false;
        return ok(createValue(HELD));
      }
      // Like a network, this lets other tasks run.
      await nextTurn();
      asked.push(options);
      return ok(answer(options));
    },
    isWatcher: () => isWatcher,
    onSettled: () => settle(),
    clock,
    startJitterMs: 0,
    unconfirmedMs: 10 * VALUE_READ_MS,
  });
  closers.push(reader.close);
  await settled;
  return {
    reader,
    store,
    asked,
    pass: (ms: number) => {
      nowMs += ms;
      return nowMs;
    },
  };
}

describe("a platform with nothing newer", () => {
  // Guards against a stale platform that keeps an old version in force: a wake
  // check would end, and runners would take keys for another day.
  test.each<{ name: string; version: number; isConfirmed: boolean }>([
    { name: "the version held", version: HELD, isConfirmed: true },
    { name: "an older version", version: HELD - 1, isConfirmed: false },
    { name: "no version yet", version: 0, isConfirmed: false },
    { name: "a newer version", version: HELD + 1, isConfirmed: false },
  ])("confirms by $name: $isConfirmed", async ({ version, isConfirmed }) => {
    const { reader, store, pass } = await startReader(() => ({
      type: "unchanged",
      version,
    }));
    const nowMs = pass(5_000);
    expect(await reader.readNow()).toBe(isConfirmed);
    expect(store.confirmedAtMs()).toBe(isConfirmed ? nowMs : START_MS);
    expect(store.held()?.version).toBe(HELD);
  });

  // Guards against a platform without the header that never confirms anything.
  test.each<{ platform: number; isConfirmed: boolean }>([
    { platform: HELD, isConfirmed: true },
    { platform: HELD - 1, isConfirmed: false },
  ])(
    "without a version it is asked for the value: at $platform $isConfirmed",
    async ({ platform, isConfirmed }) => {
      const { reader, store, asked, pass } = await startReader(({ after }) =>
        platform > after ? createValue(platform) : { type: "unchanged" },
      );
      const nowMs = pass(5_000);
      expect(await reader.readNow()).toBe(isConfirmed);
      expect(asked.map(({ after }) => after)).toEqual([HELD, HELD - 1]);
      expect(store.confirmedAtMs()).toBe(isConfirmed ? nowMs : START_MS);
    },
  );

  // Guards against watchers that read the whole value every few seconds.
  test("a watcher asks for the value only every ten minutes", async () => {
    const { store, asked, pass } = await startReader(({ after }) => {
      if (after < HELD) return createValue(HELD);
      // The platform holds a watch for a minute.
      pass(60_000);
      return { type: "unchanged" };
    }, true);
    while (store.confirmedAtMs() === START_MS) {
      await nextTurn();
    }
    const watches = asked.filter(({ after }) => after === HELD);
    expect(watches).toHaveLength(VALUE_READ_MS / 60_000);
    expect(store.confirmedAtMs()).toBe(START_MS + VALUE_READ_MS);
  });
});
