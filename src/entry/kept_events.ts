/**
 * The events that one caller has been sent, kept until the answer is complete
 * so that a broken stream can continue. They are copied into blocks, because
 * the received bytes are parts of larger network buffers.
 */

import type { MemoryPool } from "./memory_pool.ts";

export const MAX_KEPT_BYTES = 1024 * 1024;
/** About 30 events; larger blocks would be half empty for most answers. */
const BLOCK_BYTES = 8 * 1024;

export interface KeptEvents {
  append(bytes: Uint8Array): void;
  /** All events, or undefined if they were more than could be kept. */
  read(): Buffer | undefined;
  close(): void;
}

export function createKeptEvents(pool: MemoryPool): KeptEvents {
  let blocks: Buffer[] = [];
  let lastUsedBytes = BLOCK_BYTES;
  let isKept = true;

  function drop() {
    pool.release(blocks.length * BLOCK_BYTES);
    blocks = [];
    isKept = false;
  }

  function addBlock(): boolean {
    const isFull = (blocks.length + 1) * BLOCK_BYTES > MAX_KEPT_BYTES;
    if (isFull || !pool.take(BLOCK_BYTES)) return false;
    blocks.push(Buffer.allocUnsafeSlow(BLOCK_BYTES));
    lastUsedBytes = 0;
    return true;
  }

  return {
    append(bytes) {
      let offset = 0;
      while (isKept && offset < bytes.length) {
        if (lastUsedBytes === BLOCK_BYTES && !addBlock()) return drop();
        const part = bytes.subarray(
          offset,
          offset + BLOCK_BYTES - lastUsedBytes,
        );
        blocks.at(-1)!.set(part, lastUsedBytes);
        lastUsedBytes += part.length;
        offset += part.length;
      }
    },
    read() {
      if (!isKept) return undefined;
      const unusedBytes = BLOCK_BYTES - lastUsedBytes;
      const all = Buffer.concat(blocks);
      return all.subarray(0, all.length - unusedBytes);
    },
    close: drop,
  };
}
