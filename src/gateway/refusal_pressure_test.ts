import { expect, test } from "@jest/globals";
import { createRefusalTracker } from "./refusal_pressure.ts";

function create() {
  const time = { ms: 10_000 };
  return { time, pressure: createRefusalTracker(() => time.ms) };
}

test("a single refusal gives a short retry delay", () => {
  const { pressure } = create();
  Array.from({ length: 50 }).forEach(() => pressure.countAdmitted());
  pressure.countRefused();
  expect(pressure.computeRetryDelayMs()).toBeLessThan(200);
});

test("a lasting overload gives a retry delay between one and two seconds", () => {
  const { pressure } = create();
  Array.from({ length: 50 }).forEach(() => pressure.countRefused());
  expect(pressure.computeRetryDelayMs()).toBeGreaterThan(1_000);
  expect(pressure.computeRetryDelayMs()).toBeLessThan(2_000);
});

test("refusals older than two seconds no longer count", () => {
  const { time, pressure } = create();
  pressure.countRefused();
  time.ms += 2_200;
  expect(pressure.refusedShare()).toBe(0);
});
