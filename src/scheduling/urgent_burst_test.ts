import { expect, test } from "@jest/globals";
import { ENGINE } from "../directory/testing/mod.ts";
import { createRandom } from "./testing/create_random.ts";
import { simulateFleet } from "./testing/simulate_fleet.ts";
import type { SimulatedCall, SimulatedKind } from "./testing/simulate_fleet.ts";

const ENGINE_OF_12 = {
  ...ENGINE,
  slots: 12,
  usualPromptTokens: 940,
  usualAnswerTokens: 95,
};

/** Per engine, about what it can do; the least urgent kind comes in bursts. */
function createKinds(engines: number): readonly SimulatedKind[] {
  const isBurst = (atMs: number) => atMs >= 2_000 && atMs < 6_000;
  const usual = { outputTokens: 105, promptTokens: 787, objectiveMs: 402 };
  const summary = { outputTokens: 105, promptTokens: 1_290 };
  return [
    { ...usual, rank: 0, perS: () => 2 * engines },
    { ...usual, rank: 1, perS: () => 2 * engines, outputTokens: 70 },
    {
      ...summary,
      rank: 2,
      perS: (atMs: number) => (isBurst(atMs) ? 9 : 3) * engines,
      objectiveMs: 1_002,
    },
  ];
}

function simulateBurst(rankCount: number, seed: number) {
  const engines = 9;
  const kinds = createKinds(engines);
  const calls = simulateFleet({
    engine: ENGINE_OF_12,
    engines,
    entries: 6,
    rankCount,
    kinds,
    durationMs: 8_000,
    timeoutMs: 6_000,
    random: createRandom(seed),
  });
  const isOnTime = ({ firstEventMs = Infinity, kind }: SimulatedCall) =>
    firstEventMs <= kind.objectiveMs;
  const isServed = ({ firstEventMs }: SimulatedCall) =>
    firstEventMs !== undefined;
  return kinds.map((kind) => {
    const own = calls.filter((call) => call.kind === kind);
    return {
      onTime: own.filter(isOnTime).length / own.length,
      served: own.filter(isServed).length / own.length,
    };
  });
}

// Guards against urgent requests that are refused or wait because a burst of
// the least urgent kind, which has the widest objective, fills the queues.
test.each([11, 12, 13])(
  "a burst of the least urgent kind does not displace the most urgent one (seed %s)",
  (seed) => {
    const [first, , last] = simulateBurst(3, seed);
    const [former] = simulateBurst(1, seed);
    expect(first!.onTime).toBeGreaterThan(0.75);
    expect(first!.onTime).toBeGreaterThan(former!.onTime + 0.3);
    expect(first!.served).toBeGreaterThan(last!.served);
  },
);
