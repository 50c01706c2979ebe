import { describe, expect, test } from "@jest/globals";
import { rankByHash } from "./mod.ts";

const NAMES = Array.from({ length: 20 }, (_, i) => `host-${i}`);

describe("rankByHash", () => {
  // Guards against processes that rank differently because their lists differ
  // in order.
  test("does not depend on the order of the names", () => {
    expect(rankByHash("k", [...NAMES].reverse())).toEqual(
      rankByHash("k", NAMES),
    );
  });

  // Guards against keys that move between the remaining hosts.
  test("keeps the order of the other names when one is removed", () => {
    const ranked = rankByHash("k", NAMES);
    const gone = ranked[3];
    const rest = NAMES.filter((name) => name !== gone);
    expect(rankByHash("k", rest)).toEqual(ranked.filter((n) => n !== gone));
  });

  // Guards against a hash that favours some of several similar names.
  test("distributes the first ranks evenly", () => {
    const counts = new Map<string, number>();
    for (let key = 0; key < 20_000; key++) {
      const first = rankByHash(`key-${key}`, NAMES)[0]!;
      counts.set(first, (counts.get(first) ?? 0) + 1);
    }
    // 1,000 expected for each; 5 standard deviations are about 155.
    NAMES.forEach((name) => {
      expect(Math.abs((counts.get(name) ?? 0) - 1_000)).toBeLessThan(155);
    });
  });
});
