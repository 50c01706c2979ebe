import { expect, test } from "@jest/globals";
import { ENGINE } from "../directory/testing/mod.ts";
import { mayWait } from "./admit_by_wait.ts";
import { forecastFirstEventMs } from "./mod.ts";
import { createRandom } from "./testing/create_random.ts";
import { createLoad, createReport } from "./testing/load_report.ts";
import { simulateEngines } from "./testing/simulate_engines.ts";

const loads = [45, 75, 105].flatMap((requestsPerS) =>
  [1, 1.5, 2, 4].map((slowdown) => ({
    requestsPerS: requestsPerS / slowdown,
    slowdown,
  })),
);

// Guards against large requests that are left unserved while smaller ones of
// the same kind are served: a forecast that includes the request's own prompt
// refused them on slow endpoints even without load.
test.each(loads)(
  "large requests are served at least half as often at $requestsPerS a second on endpoints slower by $slowdown",
  ({ requestsPerS, slowdown }) => {
    const { all, largestTenth, nextFifth } = simulateEngines({
      requestsPerS,
      slowdown,
      durationMs: 20_000,
      random: createRandom(7),
    });
    expect(largestTenth).toBeGreaterThanOrEqual(all / 2);
    expect(nextFifth).toBeGreaterThanOrEqual(all / 2);
  },
);

function mayWaitAt(
  fields: {
    readonly requests: number;
    readonly slowdown: number;
    readonly promptTokens: number;
  },
  timeLeftMs = 6_000,
) {
  const { requests, slowdown, promptTokens } = fields;
  const load = createLoad(requests, {
    report: createReport({ slowdown }),
    unreadTokens: requests * ENGINE.usualPromptTokens,
    slowdown,
  });
  const forecastMs = forecastFirstEventMs(ENGINE, load, promptTokens);
  return mayWait({
    engine: ENGINE,
    load,
    forecastMs,
    promptTokens,
    timeToObjectiveMs: 500,
    timeLeftMs,
  });
}

test("an idle endpoint takes a request that will be late, unless its caller leaves before", () => {
  const large = { requests: 0, slowdown: 4, promptTokens: 3_800 };
  expect(mayWaitAt(large)).toBe(true);
  expect(mayWaitAt(large, 1_000)).toBe(false);
});

// Guards against endpoints that are overrun by requests which will be late.
test("a request that will be late is refused by an endpoint with a queue", () => {
  const late = { requests: 12, slowdown: 1, promptTokens: 979 };
  expect(mayWaitAt(late)).toBe(false);
  expect(mayWaitAt({ ...late, slowdown: 2 })).toBe(false);
});
