import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { chooseRunner, createKey, normalizeKey, readKeyTimeMs } from "./mod.ts";

const SEED = Date.now() % 1_000_000;
const MAX_TIME_MS = 2 ** 47;

function check(property: Parameters<typeof fc.assert>[0]) {
  console.log(`seed ${SEED}`);
  fc.assert(property, { seed: SEED });
}

describe("idempotency key", () => {
  // Guards against a key whose time is not read as it was written.
  test("contains its time", () => {
    const times = fc.integer({ min: 0, max: MAX_TIME_MS });
    check(
      fc.property(times, (timeMs) => {
        const key = createKey(timeMs);
        expect(normalizeKey(key.toUpperCase())).toBe(key);
        expect(readKeyTimeMs(key)).toBe(timeMs);
      }),
    );
  });

  // Guards against accepting keys that contain no time.
  test.each(["", "x", "7d444840-9dc0-41d1-b245-5ffdce74fad2"])(
    "refuses %p",
    (text) => expect(normalizeKey(text)).toBeUndefined(),
  );
});

describe("chooseRunner", () => {
  // Guards against an old key that is assigned to another host and runs twice.
  test("does not reassign old keys when a runner set is added", () => {
    const names = fc.uniqueArray(fc.string({ minLength: 1 }), {
      minLength: 1,
      maxLength: 5,
    });
    const times = fc.integer({ min: 1_000, max: 2_000 });
    check(
      fc.property(names, names, times, (first, second, timeMs) => {
        const key = createKey(timeMs);
        const sets = [{ fromMs: 1_000, runners: first }];
        const later = [...sets, { fromMs: timeMs + 1, runners: second }];
        const runner = chooseRunner(key, sets);
        expect(first).toContain(runner);
        expect(chooseRunner(key, later)).toBe(runner);
        const now = [...sets, { fromMs: timeMs, runners: second }];
        expect(second).toContain(chooseRunner(key, now));
      }),
    );
  });

  // Guards against choosing a runner for a key that no runner set covers.
  test("has no runner for a key older than every runner set", () => {
    const sets = [{ fromMs: 1_000, runners: ["a"] }];
    expect(chooseRunner(createKey(999), sets)).toBeUndefined();
  });
});
