import { expect, test } from "@jest/globals";
import { createRefusalPressure } from "./refusal_pressure.ts";

function create() {
  const time = { ms: 10_000 };
  return { time, pressure: createRefusalPressure(() => time.ms) };
}

test("a single refusal gives a short retry delay", () => {
  const { pressure } = create();
  Array.from({ length: 50 }).forEach(() => pressure.onAdmitted());
  pressure.onRefused();
  expect(pressure.computeDelayMs()).toBeLessThan(200);
});

test("a lasting overload gives a retry delay between one and two seconds", () => {
  const { pressure } = create();
  Array.from({ length: 50 }).forEach(() => pressure.onRefused());
  expect(pressure.computeDelayMs()).toBeGreaterThan(1_000);
  expect(pressure.computeDelayMs()).toBeLessThan(2_000);
});

test("refusals older than two seconds no longer count", () => {
  const { time, pressure } = create();
  pressure.onRefused();
  time.ms += 2_200;
  expect(pressure.share()).toBe(0);
});
