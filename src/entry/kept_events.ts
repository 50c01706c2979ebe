/**
 * The events that one caller has been sent, kept until the answer is complete
 * so that a broken stream can continue. They are copied, because the received
 * bytes are parts of larger network buffers.
 */

export const MAX_KEPT_BYTES = 1024 * 1024;
const FIRST_CAPACITY_BYTES = 4 * 1024;

export interface KeptEvents {
  append(bytes: Uint8Array): void;
  /** All events, or undefined if they were more than can be kept. */
  read(): Buffer | undefined;
}

export function createKeptEvents(): KeptEvents {
  let buffer: Buffer | undefined = Buffer.allocUnsafe(FIRST_CAPACITY_BYTES);
  let sizeBytes = 0;
  return {
    append(bytes) {
      if (buffer === undefined) return;
      const needed = sizeBytes + bytes.length;
      if (needed > MAX_KEPT_BYTES) {
        buffer = undefined;
        return;
      }
      if (needed > buffer.length) {
        const larger = Buffer.allocUnsafe(Math.max(needed, buffer.length * 2));
        buffer.copy(larger, 0, 0, sizeBytes);
        buffer = larger;
      }
      buffer.set(bytes, sizeBytes);
      sizeBytes = needed;
    },
    read: () => buffer?.subarray(0, sizeBytes),
  };
}
