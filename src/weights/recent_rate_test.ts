import { expect, test } from "@jest/globals";
import { createRecentRate } from "./recent_rate.ts";

// Guards against a mean since the start, which a pause or a slow start would
// distort for the rest of the transfer.
test("reports the rate of the last seconds only", () => {
  let clockMs = 500;
  const rate = createRecentRate(() => clockMs);
  function receive(seconds: number, bytesPerS: number) {
    for (let index = 0; index < seconds * 10; index += 1) {
      rate.add(bytesPerS / 10);
      clockMs += 100;
    }
  }
  expect(rate.bytesPerS()).toBe(0);
  receive(3, 1_000);
  expect(rate.bytesPerS()).toBeCloseTo(1_000);
  receive(20, 5_000);
  expect(rate.bytesPerS()).toBeCloseTo(5_000);
  clockMs += 4_000;
  expect(rate.bytesPerS()).toBeGreaterThan(1_000);
  expect(rate.bytesPerS()).toBeLessThan(5_000);
  clockMs += 60_000;
  expect(rate.bytesPerS()).toBe(0);
});
