import { describe, expect, test } from "@jest/globals";
import { createRetryTimes } from "./retry_times.ts";

function createTimes() {
  let clockMs = 1_000;
  const retries = createRetryTimes({
    nowMs: () => clockMs,
    random: () => 1,
    maxBackoffMs: 8_000,
  });
  return {
    retries,
    waitMs: () => retries.readyAtMs("store") - clockMs,
    advance: (ms: number) => (clockMs += ms),
  };
}

describe("retry times", () => {
  // Guards against a backoff that grows fourfold with each attempt: two tasks
  // ask the store in parallel, and if each failure counted, the fleet would
  // wait for these chunks long after an outage of the store has ended.
  test("count failures of parallel requests once", () => {
    const { retries, waitMs, advance } = createTimes();
    [250, 500, 1_000, 2_000].forEach((expectedMs) => {
      retries.backOff("store");
      retries.backOff("store");
      expect(waitMs()).toBe(expectedMs);
      advance(expectedMs);
    });
    expect(retries.countFailures("store")).toBe(4);
  });

  // Guards against a request before the retry delay that the source asked for.
  test("wait at least as long as the source requested", () => {
    const { retries, waitMs } = createTimes();
    retries.backOff("store");
    retries.defer("store", 4_000);
    expect(waitMs()).toBeGreaterThanOrEqual(4_000);
    retries.backOff("store");
    expect(waitMs()).toBeGreaterThanOrEqual(4_000);
  });
});
