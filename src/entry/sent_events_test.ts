import { describe, expect, test } from "@jest/globals";
import { createSentEvents, MAX_SENT_EVENTS_BYTES } from "./sent_events.ts";
import { createMemoryPool } from "./memory_pool.ts";

describe("sent events", () => {
  // Guards against bytes that are lost at a block boundary.
  test.each([0, 1, 8_191, 8_192, 8_193, 30_000])(
    "returns %d bytes as appended",
    (sizeBytes) => {
      const sentEvents = createSentEvents(
        createMemoryPool(MAX_SENT_EVENTS_BYTES),
      );
      const bytes = Buffer.from(
        Array.from({ length: sizeBytes }, (_, index) => index % 251),
      );
      sentEvents.append(bytes.subarray(0, 100));
      sentEvents.append(bytes.subarray(100));
      expect(sentEvents.read()!.equals(bytes)).toBe(true);
    },
  );

  // Guards against memory that grows with a response, and against continuing
  // from only a part of the events that the caller has.
  test("discards everything once a response is too long", () => {
    const pool = createMemoryPool(2 * MAX_SENT_EVENTS_BYTES);
    const sentEvents = createSentEvents(pool);
    sentEvents.append(Buffer.alloc(MAX_SENT_EVENTS_BYTES));
    expect(sentEvents.read()).toHaveLength(MAX_SENT_EVENTS_BYTES);
    sentEvents.append(Buffer.alloc(1));
    expect(sentEvents.read()).toBeUndefined();
    expect(pool.reservedBytes()).toBe(0);
  });

  // Guards against many streams that together use up the memory.
  test("releases its memory, and stores nothing if the pool is used up", () => {
    const pool = createMemoryPool(20_000);
    const [one, two] = [createSentEvents(pool), createSentEvents(pool)];
    one.append(Buffer.alloc(10_000));
    two.append(Buffer.alloc(10));
    expect(two.read()).toBeUndefined();
    one.close();
    one.close();
    expect(pool.reservedBytes()).toBe(0);
  });
});
