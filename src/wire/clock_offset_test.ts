import {
  afterEach,
  beforeEach,
  describe,
  expect,
  jest,
  test,
} from "@jest/globals";
import { createClockOffset } from "./clock_offset.ts";

beforeEach(() => void jest.useFakeTimers());
afterEach(() => void jest.useRealTimers());

function sample(roundTripMs: number, remoteWallMs: unknown) {
  const offset = createClockOffset(() => 10_000);
  offset.onPing();
  jest.advanceTimersByTime(roundTripMs);
  offset.onPong(remoteWallMs);
  return offset.aheadMs();
}

describe("clock offset", () => {
  test("is the difference of the clocks at half the round trip", () => {
    expect(sample(200, 12_000)).toBeCloseTo(2_100, 0);
  });

  // Guards against a pause of either side that is taken for clock skew.
  test("ignores slow responses and those without a time", () => {
    expect(sample(400, 12_000)).toBeUndefined();
    expect(sample(1, undefined)).toBeUndefined();
    expect(sample(1, "12000")).toBeUndefined();
  });
});
