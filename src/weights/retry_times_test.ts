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
  // Guards against an outage of the store that outlasts itself: two tasks ask
  // the store at once, and when each failure counted by itself, the wait grew
  // fourfold with each attempt, while the fleet waited for these chunks.
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

  // Guards against a source that is asked earlier than it allows.
  test("wait at least as long as the source asked for", () => {
    const { retries, waitMs } = createTimes();
    retries.backOff("store");
    retries.defer("store", 4_000);
    expect(waitMs()).toBeGreaterThanOrEqual(4_000);
    retries.backOff("store");
    expect(waitMs()).toBeGreaterThanOrEqual(4_000);
  });
});
