import { expect, test } from "@jest/globals";
import { createRefusalTracker } from "./refusal_tracker.ts";

function create() {
  const time = { ms: 10_000 };
  return { time, tracker: createRefusalTracker(() => time.ms) };
}

test("a single refusal gives a short retry delay", () => {
  const { tracker } = create();
  Array.from({ length: 50 }).forEach(() => tracker.countAdmitted());
  tracker.countRefused();
  expect(tracker.computeRetryDelayMs()).toBeLessThan(200);
});

// Callers must retry after the overload, but before their own timeouts.
test("a lasting overload gives a retry delay between one and two seconds", () => {
  const { tracker } = create();
  Array.from({ length: 50 }).forEach(() => tracker.countRefused());
  expect(tracker.computeRetryDelayMs()).toBeGreaterThan(1_000);
  expect(tracker.computeRetryDelayMs()).toBeLessThan(2_000);
});

test("refusals older than two seconds no longer count", () => {
  const { time, tracker } = create();
  tracker.countRefused();
  time.ms += 2_200;
  expect(tracker.refusedShare()).toBe(0);
});
