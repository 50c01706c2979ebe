import { expect, test } from "@jest/globals";
import { createRefusalPressure } from "./refusal_pressure.ts";

function create() {
  const time = { ms: 10_000 };
  return { time, pressure: createRefusalPressure(() => time.ms) };
}

test("a single refusal sends the caller to another entry almost at once", () => {
  const { pressure } = create();
  Array.from({ length: 50 }).forEach(() => pressure.onAdmitted());
  pressure.onRefused();
  expect(pressure.computeDelayMs()).toBeLessThan(200);
});

test("a lasting overload sends callers back after it, within their patience", () => {
  const { pressure } = create();
  Array.from({ length: 50 }).forEach(() => pressure.onRefused());
  expect(pressure.computeDelayMs()).toBeGreaterThan(1_000);
  expect(pressure.computeDelayMs()).toBeLessThan(2_000);
});

test("an overload that is over is forgotten after two seconds", () => {
  const { time, pressure } = create();
  pressure.onRefused();
  time.ms += 2_200;
  expect(pressure.share()).toBe(0);
});
