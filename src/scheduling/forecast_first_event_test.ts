import { expect, test } from "@jest/globals";
import { ENGINE } from "../directory/testing/mod.ts";
import { forecastFirstEventMs } from "./mod.ts";
import { createLoad } from "./testing/load_report.ts";

function forecast(requests: number, unreadTokens = 0, promptTokens = 979) {
  return forecastFirstEventMs(
    ENGINE,
    createLoad(requests, { unreadTokens }),
    promptTokens,
  );
}

// Medians from a replayed day of high load; the previous forecast
// gave 107 ms throughout.
test.each([
  { requests: 5, medianMs: 165 },
  { requests: 9, medianMs: 151 },
  { requests: 11, medianMs: 147 },
])(
  "the forecast is within 20% of the measured median at $requests requests",
  (point) => {
    const ratio = forecast(point.requests) / point.medianMs;
    expect(ratio).toBeGreaterThan(0.8);
    expect(ratio).toBeLessThan(1.2);
  },
);

test("unprocessed prompt tokens delay the first event", () => {
  expect(forecast(8, 4_000) - forecast(8)).toBeCloseTo(4_000 / 20.7, 0);
});

test("a request that finds all slots in use waits for another to end", () => {
  expect(forecast(17) - forecast(15)).toBeGreaterThan(100);
});
