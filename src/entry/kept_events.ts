/**
 * The events that one caller has been sent, kept until the answer is complete
 * so that a broken stream can continue. They are copied, because the received
 * bytes are parts of larger network buffers.
 */

import type { MemoryPool } from "./memory_pool.ts";

export const MAX_KEPT_BYTES = 1024 * 1024;
const FIRST_CAPACITY_BYTES = 4 * 1024;

export interface KeptEvents {
  append(bytes: Uint8Array): void;
  /** All events, or undefined if they were more than could be kept. */
  read(): Buffer | undefined;
  close(): void;
}

export function createKeptEvents(pool: MemoryPool): KeptEvents {
  let buffer = Buffer.alloc(0);
  let sizeBytes = 0;
  let isKept = true;

  function drop() {
    pool.release(buffer.length);
    buffer = Buffer.alloc(0);
    sizeBytes = 0;
    isKept = false;
  }

  function grow(neededBytes: number) {
    const capacity = Math.min(
      MAX_KEPT_BYTES,
      Math.max(neededBytes, buffer.length * 2, FIRST_CAPACITY_BYTES),
    );
    if (neededBytes > capacity || !pool.take(capacity - buffer.length)) {
      return drop();
    }
    const larger = Buffer.allocUnsafeSlow(capacity);
    buffer.copy(larger, 0, 0, sizeBytes);
    buffer = larger;
  }

  return {
    append(bytes) {
      const neededBytes = sizeBytes + bytes.length;
      if (isKept && neededBytes > buffer.length) grow(neededBytes);
      if (!isKept) return;
      buffer.set(bytes, sizeBytes);
      sizeBytes = neededBytes;
    },
    read: () => (isKept ? buffer.subarray(0, sizeBytes) : undefined),
    close: drop,
  };
}
