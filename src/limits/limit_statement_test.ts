import { describe, expect, test } from "@jest/globals";
import { mergeStatements } from "./mod.ts";
import type { LimitStatement } from "./mod.ts";

const state = (
  ratePerS: number,
  sentAtMs: number,
  heardAtMs: number,
): LimitStatement => ({ ratePerS, sentAtMs, heardAtMs });

const merge = (statements: readonly LimitStatement[]) =>
  statements.reduce<LimitStatement | undefined>(mergeStatements, undefined);

describe("what an endpoint states about its request limit", () => {
  // Guards against a long wait for a response from before the limit was named,
  // which would end the limit.
  test("is not ended by the response to an earlier request", () => {
    const limit = state(1, 100, 120);
    const none = state(Infinity, 90, 4_000);
    expect(merge([limit, none])).toBe(limit);
    expect(merge([none, limit])).toBe(limit);
  });

  test.each([{ ratePerS: 2 }, { ratePerS: Infinity }])(
    "is raised to $ratePerS by the response to a later request",
    ({ ratePerS }) => {
      const later = state(ratePerS, 120, 140);
      expect(merge([state(1, 100, 120), later])).toBe(later);
      expect(merge([later, state(1, 100, 120)])).toBe(later);
    },
  );

  test("is the lower one of two that overtook each other", () => {
    const lower = state(1, 100, 150);
    const higher = state(2, 110, 130);
    expect(merge([lower, higher])).toBe(lower);
    expect(merge([higher, lower])).toBe(lower);
  });

  // Guards against a limit that never ends while requests overlap.
  test("ends although responses to overlapping requests have named it", () => {
    const named = Array.from({ length: 20 }, (_, index) =>
      state(1, index * 10, index * 10 + 100),
    );
    const ended = Array.from({ length: 20 }, (_, index) =>
      state(Infinity, 200 + index * 10, 300 + index * 10),
    );
    expect(merge([...named, ...ended])?.ratePerS).toBe(Infinity);
  });
});
