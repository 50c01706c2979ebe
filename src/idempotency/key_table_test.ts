import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { createKeyFloor, createKeyTable } from "./mod.ts";
import type { KeyFloor, KeyTable } from "./mod.ts";

const SEED = 20_250_704;
const MAX_HAND_OFF_AGE_MS = 1_000;

interface Incarnation {
  readonly table: KeyTable;
  readonly floor: KeyFloor;
  /** Difference of this host's clock from true time. */
  readonly skewMs: number;
}

interface Taken {
  readonly key: string;
  readonly by: Incarnation;
  readonly acceptedAtMs: number;
}

/** All that the commands change; time is true time. */
interface World {
  nowMs: number;
  current: Incarnation;
  readonly keys: Map<string, number>;
  taken: readonly Taken[];
  running: readonly Taken[];
  readonly runs: Map<string, number>;
  readonly told: Map<string, string>;
}

type Command = fc.Command<object, World>;

function createIncarnation(nowMs: number, skewMs: number): Incarnation {
  const floor = createKeyFloor(nowMs + skewMs);
  const table = createKeyTable({ floor, maxKeys: () => 2 });
  return { table, floor, skewMs };
}

function createCommand(name: string, apply: (world: World) => void): Command {
  return {
    check: () => true,
    toString: () => name,
    run(_model, world) {
      apply(world);
      [...world.runs].forEach(([key, count]) => {
        if (count > 1) throw new Error(`Key ${key} ran ${count} times`);
      });
    },
  };
}

function pick<T>(items: readonly T[], index: number): T | undefined {
  return items[index % Math.max(1, items.length)];
}

function arrive(world: World, index: number) {
  const { current, nowMs } = world;
  const key = pick([...world.keys.keys()], index);
  if (key === undefined) return;
  const keyTimeMs = world.keys.get(key)!;
  if (current.table.look(key, keyTimeMs, "f") === undefined) {
    if (current.floor.isTooNew(keyTimeMs, nowMs + current.skewMs)) return;
  }
  const { type } = current.table.take(key, keyTimeMs, "f");
  world.told.set(type, key);
  if (type !== "run") return;
  world.taken = [...world.taken, { key, by: current, acceptedAtMs: nowMs }];
}

function handOff(world: World, index: number) {
  const taken = pick(world.taken, index);
  if (taken === undefined) return;
  world.taken = world.taken.filter((other) => other !== taken);
  if (world.nowMs - taken.acceptedAtMs > MAX_HAND_OFF_AGE_MS) {
    return taken.by.table.release(taken.key);
  }
  world.runs.set(taken.key, (world.runs.get(taken.key) ?? 0) + 1);
  world.running = [...world.running, taken];
}

function finish(world: World, index: number, hasAnswer: boolean) {
  const taken = pick(world.running, index);
  if (taken === undefined) return;
  world.running = world.running.filter((other) => other !== taken);
  const answer = { status: 200, headers: {}, body: Buffer.from("x") };
  taken.by.table.finish(taken.key, hasAnswer ? answer : undefined);
}

describe("key table", () => {
  // Guards against a second run of a key through any order of arrivals, late
  // hand-offs, evictions, restarts and pauses. The old incarnation may still
  // hand off what it accepted before its replacement started.
  test(`no key runs twice (seed ${SEED})`, () => {
    const index = fc.nat(10);
    const skew = fc.integer({ min: -500, max: 500 });
    // Mostly keys that an entry lets through, and some from a wrong clock.
    const ahead = fc.oneof(
      { weight: 5, arbitrary: fc.integer({ min: -100, max: 1_000 }) },
      { weight: 1, arbitrary: fc.integer({ min: 1_000, max: 4_000 }) },
    );
    const seen = new Set<string>();
    const frequent = [
      index.map((i) => createCommand(`arrive ${i}`, (w) => arrive(w, i))),
      index.map((i) => createCommand(`handOff ${i}`, (w) => handOff(w, i))),
      fc
        .tuple(index, fc.boolean())
        .map(([i, has]) =>
          createCommand(`finish ${i} ${has}`, (w) => finish(w, i, has)),
        ),
    ];
    const commands = [
      fc.tuple(index, ahead).map(([i, ms]) =>
        createCommand(`mint ${i} ${ms}`, ({ keys, nowMs }) => {
          keys.set(`k${keys.size}`, nowMs + ms);
        }),
      ),
      ...frequent,
      ...frequent,
      ...frequent,
      fc
        .nat(1_500)
        .map((ms) => createCommand(`pause ${ms}`, (w) => void (w.nowMs += ms))),
      skew.map((ms) =>
        createCommand(`restart ${ms}`, (w) => {
          w.current = createIncarnation(w.nowMs, ms);
        }),
      ),
    ];
    fc.assert(
      fc.property(
        fc.commands(commands, { maxCommands: 80, size: "max" }),
        (cmds) => {
          const nowMs = 1_000_000;
          const world: World = {
            nowMs,
            current: createIncarnation(nowMs - 10_000, 0),
            keys: new Map(),
            taken: [],
            running: [],
            runs: new Map(),
            told: new Map(),
          };
          fc.modelRun(() => ({ model: {}, real: world }), cmds);
          [...world.told.keys()].forEach((type) => seen.add(type));
        },
      ),
      { seed: SEED, numRuns: 2_000 },
    );
    // The generated cases reached every decision that matters here.
    expect([...seen]).toEqual(
      expect.arrayContaining(["run", "in_use", "answered", "unknown", "full"]),
    );
  });

  // Guards against the floor rising over keys that did not run.
  test("evicts the oldest finished keys only when full", () => {
    const floor = createKeyFloor(-2_000);
    const table = createKeyTable({ floor, maxKeys: () => 2 });
    table.take("a", 1, "f");
    table.take("b", 2, "f");
    expect(table.take("c", 3, "f").type).toBe("full");
    table.finish("b");
    expect(table.take("c", 3, "f").type).toBe("run");
    expect(floor.valueMs()).toBe(2);
    expect(table.look("a", 1, "f")?.type).toBe("in_use");
    expect(table.look("b", 2, "f")?.type).toBe("unknown");
    expect(table.look("c", 3, "g")?.type).toBe("mismatch");
  });

  // Guards against answers that take the memory of the process.
  test("drops the oldest answers beyond the stored size", () => {
    const floor = createKeyFloor(-2_000);
    const options = { floor, maxKeys: () => 9, maxStoredBytes: 5 };
    const table = createKeyTable(options);
    ["a", "b"].forEach((key) => {
      table.take(key, 1, "f");
      const body = Buffer.from("xxx");
      table.finish(key, { status: 200, headers: {}, body });
    });
    expect(table.look("a", 1, "f")?.type).toBe("unknown");
    expect(table.look("b", 1, "f")?.type).toBe("answered");
  });
});
