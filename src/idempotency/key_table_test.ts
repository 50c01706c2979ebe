import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { createKeyFloor, createKeyTable } from "./mod.ts";
import type { KeyFloor, KeyTable } from "./mod.ts";

const SEED = 20_250_704;
const MAX_HAND_OFF_AGE_MS = 1_000;

interface Incarnation {
  readonly table: KeyTable;
  readonly floor: KeyFloor;
  /** Offset of this host's clock from true time. */
  readonly skewMs: number;
}

interface ClaimedKey {
  readonly key: string;
  readonly incarnation: Incarnation;
  readonly acceptedAtMs: number;
}

/** All that the commands change. Times are true times. */
interface SimulationState {
  nowMs: number;
  current: Incarnation;
  readonly keyTimesMs: Map<string, number>;
  claimed: readonly ClaimedKey[];
  running: readonly ClaimedKey[];
  readonly runCounts: Map<string, number>;
  readonly decisions: Map<string, string>;
}

type Command = fc.Command<object, SimulationState>;

function createIncarnation(nowMs: number, skewMs: number): Incarnation {
  const floor = createKeyFloor(nowMs + skewMs);
  const table = createKeyTable({ floor, maxKeys: () => 2 });
  return { table, floor, skewMs };
}

function createCommand(
  name: string,
  apply: (state: SimulationState) => void,
): Command {
  return {
    check: () => true,
    toString: () => name,
    run(_model, state) {
      apply(state);
      [...state.runCounts].forEach(([key, count]) => {
        if (count > 1) throw new Error(`Key ${key} ran ${count} times`);
      });
    },
  };
}

function pick<T>(items: readonly T[], index: number): T | undefined {
  return items[index % Math.max(1, items.length)];
}

function receiveKey(state: SimulationState, index: number) {
  const { current, nowMs } = state;
  const key = pick([...state.keyTimesMs.keys()], index);
  if (key === undefined) return;
  const keyTimeMs = state.keyTimesMs.get(key)!;
  if (current.table.lookUp(key, keyTimeMs, "f") === undefined) {
    if (current.floor.isTooNew(keyTimeMs, nowMs + current.skewMs)) return;
  }
  const { type } = current.table.claim(key, keyTimeMs, "f");
  state.decisions.set(type, key);
  if (type !== "run") return;
  state.claimed = [
    ...state.claimed,
    { key, incarnation: current, acceptedAtMs: nowMs },
  ];
}

function handOff(state: SimulationState, index: number) {
  const claim = pick(state.claimed, index);
  if (claim === undefined) return;
  state.claimed = state.claimed.filter((other) => other !== claim);
  if (state.nowMs - claim.acceptedAtMs > MAX_HAND_OFF_AGE_MS) {
    return claim.incarnation.table.release(claim.key);
  }
  state.runCounts.set(claim.key, (state.runCounts.get(claim.key) ?? 0) + 1);
  state.running = [...state.running, claim];
}

function finish(state: SimulationState, index: number, hasResponse: boolean) {
  const claim = pick(state.running, index);
  if (claim === undefined) return;
  state.running = state.running.filter((other) => other !== claim);
  const response = { status: 200, headers: {}, body: Buffer.from("x") };
  claim.incarnation.table.finish(claim.key, hasResponse ? response : undefined);
}

describe("key table", () => {
  // Guards against a second run of a key, for any order of arrivals, late
  // hand-offs to the endpoint, evictions, restarts and pauses. An old
  // incarnation may still hand off a request that it accepted before its
  // replacement started.
  test(`no key runs twice (seed ${SEED})`, () => {
    const index = fc.nat(10);
    const skew = fc.integer({ min: -500, max: 500 });
    // Mostly keys that an entry accepts, and some from a wrong clock.
    const keyOffset = fc.oneof(
      { weight: 5, arbitrary: fc.integer({ min: -100, max: 1_000 }) },
      { weight: 1, arbitrary: fc.integer({ min: 1_000, max: 4_000 }) },
    );
    const seenDecisions = new Set<string>();
    const frequent = [
      index.map((i) => createCommand(`receive ${i}`, (w) => receiveKey(w, i))),
      index.map((i) => createCommand(`handOff ${i}`, (w) => handOff(w, i))),
      fc
        .tuple(index, fc.boolean())
        .map(([i, hasResponse]) =>
          createCommand(`finish ${i} ${hasResponse}`, (w) =>
            finish(w, i, hasResponse),
          ),
        ),
    ];
    const commands = [
      fc.tuple(index, keyOffset).map(([i, ms]) =>
        createCommand(`create ${i} ${ms}`, ({ keyTimesMs, nowMs }) => {
          keyTimesMs.set(`k${keyTimesMs.size}`, nowMs + ms);
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
          const state: SimulationState = {
            nowMs,
            current: createIncarnation(nowMs - 10_000, 0),
            keyTimesMs: new Map(),
            claimed: [],
            running: [],
            runCounts: new Map(),
            decisions: new Map(),
          };
          fc.modelRun(() => ({ model: {}, real: state }), cmds);
          [...state.decisions.keys()].forEach((type) =>
            seenDecisions.add(type),
          );
        },
      ),
      { seed: SEED, numRuns: 2_000 },
    );
    // Checks that the generated cases reached these decisions.
    expect([...seenDecisions]).toEqual(
      expect.arrayContaining(["run", "in_use", "answered", "unknown", "full"]),
    );
  });

  // Guards against raising the floor above keys that did not run.
  test("evicts the oldest finished keys only when full", () => {
    const floor = createKeyFloor(-2_000);
    const table = createKeyTable({ floor, maxKeys: () => 2 });
    table.claim("a", 1, "f");
    table.claim("b", 2, "f");
    expect(table.claim("c", 3, "f").type).toBe("full");
    table.finish("b");
    expect(table.claim("c", 3, "f").type).toBe("run");
    expect(floor.valueMs()).toBe(2);
    expect(table.lookUp("a", 1, "f")?.type).toBe("in_use");
    expect(table.lookUp("b", 2, "f")?.type).toBe("unknown");
    expect(table.lookUp("c", 3, "g")?.type).toBe("mismatch");
  });

  // Guards against stored responses that use up the memory of the process.
  test("drops the oldest responses beyond the maximum stored size", () => {
    const floor = createKeyFloor(-2_000);
    const options = { floor, maxKeys: () => 9, maxStoredBytes: 5 };
    const table = createKeyTable(options);
    ["a", "b"].forEach((key) => {
      table.claim(key, 1, "f");
      const body = Buffer.from("xxx");
      table.finish(key, { status: 200, headers: {}, body });
    });
    expect(table.lookUp("a", 1, "f")?.type).toBe("unknown");
    expect(table.lookUp("b", 1, "f")?.type).toBe("answered");
  });
});
