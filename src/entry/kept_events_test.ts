import { describe, expect, test } from "@jest/globals";
import { createKeptEvents, MAX_KEPT_BYTES } from "./kept_events.ts";
import { createMemoryPool } from "./memory_pool.ts";

describe("kept events", () => {
  // Guards against bytes that are lost where a block ends.
  test.each([0, 1, 8_191, 8_192, 8_193, 30_000])(
    "returns %d bytes as appended",
    (sizeBytes) => {
      const kept = createKeptEvents(createMemoryPool(MAX_KEPT_BYTES));
      const bytes = Buffer.from(
        Array.from({ length: sizeBytes }, (_, index) => index % 251),
      );
      kept.append(bytes.subarray(0, 100));
      kept.append(bytes.subarray(100));
      expect(kept.read()!.equals(bytes)).toBe(true);
    },
  );

  // Guards against memory that grows with an answer, and against continuing
  // from a part of what the caller has.
  test("keeps nothing once an answer is too long", () => {
    const pool = createMemoryPool(2 * MAX_KEPT_BYTES);
    const kept = createKeptEvents(pool);
    kept.append(Buffer.alloc(MAX_KEPT_BYTES));
    expect(kept.read()).toHaveLength(MAX_KEPT_BYTES);
    kept.append(Buffer.alloc(1));
    expect(kept.read()).toBeUndefined();
    expect(pool.usedBytes()).toBe(0);
  });

  // Guards against many streams that together take all memory.
  test("gives its memory back, and keeps nothing without any", () => {
    const pool = createMemoryPool(20_000);
    const [one, two] = [createKeptEvents(pool), createKeptEvents(pool)];
    one.append(Buffer.alloc(10_000));
    two.append(Buffer.alloc(10));
    expect(two.read()).toBeUndefined();
    one.close();
    one.close();
    expect(pool.usedBytes()).toBe(0);
  });
});
