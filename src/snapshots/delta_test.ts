import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { applyDelta, deriveDelta } from "./mod.ts";

const seed = Number(process.hrtime.bigint() % 2_147_483_647n);

/** Few distinct letters, so that prefixes and suffixes overlap often. */
const text = fc
  .array(fc.constantFrom("a", "b", "\n"), { maxLength: 60 })
  .map((letters) => Buffer.from(letters.join("")));

describe(`delta (seed ${seed})`, () => {
  // Guards against a delta that does not reproduce the next value.
  test("applying a delta to its base gives the next value", () => {
    fc.assert(
      fc.property(text, text, (base, next) => {
        const applied = applyDelta(base, deriveDelta(base, next));
        expect(applied._unsafeUnwrap()).toEqual(next);
      }),
      { seed, numRuns: 2_000 },
    );
  });

  // Guards against deltas larger than the edit at block boundaries.
  test("contains no more than the edited bytes of a large value", () => {
    const size = fc.integer({ min: 0, max: 20_000 });
    fc.assert(
      fc.property(size, size, text, (before, after, edit) => {
        const start = Buffer.alloc(before, "x");
        const end = Buffer.alloc(after, "y");
        const base = Buffer.concat([start, Buffer.from("-"), end]);
        const next = Buffer.concat([start, edit, end]);
        const delta = deriveDelta(base, next);
        expect(delta.inserted.length).toBeLessThanOrEqual(edit.length);
        expect(applyDelta(base, delta)._unsafeUnwrap().equals(next)).toBe(true);
      }),
      { seed, numRuns: 300 },
    );
  });

  // Guards against a crash or a huge allocation due to a peer's invalid sizes.
  test("rejects a prefix and suffix that exceed the base", () => {
    const count = fc.oneof(fc.integer(), fc.double());
    fc.assert(
      fc.property(text, count, count, (base, prefix, suffix) => {
        const applied = applyDelta(base, {
          keptPrefixBytes: prefix,
          keptSuffixBytes: suffix,
          inserted: Buffer.alloc(0),
        });
        const fits =
          Number.isSafeInteger(prefix) &&
          Number.isSafeInteger(suffix) &&
          Math.min(prefix, suffix) >= 0 &&
          prefix + suffix <= base.length;
        expect(applied.isOk()).toBe(fits);
      }),
      { seed, numRuns: 2_000 },
    );
  });
});
