import { describe, expect, test } from "@jest/globals";
import { createRegistry } from "../metrics/mod.ts";
import { createClockSkew } from "./clock_skew.ts";
import { SILENT_LOGGER } from "./testing/start_fleet.ts";

const CASES: readonly [
  name: string,
  aheadMs: readonly (number | undefined)[],
  isTooLarge: boolean,
][] = [
  ["no peer has answered", [undefined], false],
  ["all agree", [10, -20, 30], false],
  ["one peer's clock is wrong", [5, 90_000, -5], false],
  ["this clock is behind most", [2_000, 0, 2_010], true],
  ["this clock is ahead of most", [-500, undefined, -510], true],
  ["the only other clock differs", [400], true],
];

describe("clock skew", () => {
  // Guards against a wrong clock that is not detected, and against one wrong
  // clock that stops all peers.
  test.each(CASES)("%s", (...[, aheadMs, isTooLarge]) => {
    const skew = createClockSkew({
      peers: () => aheadMs.map((value) => ({ clockAheadMs: () => value })),
      registry: createRegistry(),
      logger: SILENT_LOGGER,
    });
    expect(skew.isTooLarge()).toBe(isTooLarge);
  });
});
