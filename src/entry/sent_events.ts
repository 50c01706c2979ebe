/**
 * The events that were sent to one caller, stored until the response is
 * complete so that a broken stream can be continued. They are copied into
 * blocks, because the received bytes are slices of larger network buffers.
 */

import type { MemoryPool } from "./memory_pool.ts";

export const MAX_SENT_EVENTS_BYTES = 1024 * 1024;
/** About 30 events; larger blocks would stay half empty for most responses. */
const BLOCK_BYTES = 8 * 1024;

export interface SentEvents {
  append(bytes: Uint8Array): void;
  /** All events, or undefined if they exceeded a limit. */
  read(): Buffer | undefined;
  close(): void;
}

export function createSentEvents(pool: MemoryPool): SentEvents {
  let blocks: Buffer[] = [];
  let lastBlockUsedBytes = BLOCK_BYTES;
  let isRetained = true;

  function discard() {
    pool.release(blocks.length * BLOCK_BYTES);
    blocks = [];
    isRetained = false;
  }

  function addBlock(): boolean {
    const exceedsLimit =
      (blocks.length + 1) * BLOCK_BYTES > MAX_SENT_EVENTS_BYTES;
    if (exceedsLimit || !pool.reserve(BLOCK_BYTES)) return false;
    blocks.push(Buffer.allocUnsafeSlow(BLOCK_BYTES));
    lastBlockUsedBytes = 0;
    return true;
  }

  return {
    append(bytes) {
      let offset = 0;
      while (isRetained && offset < bytes.length) {
        if (lastBlockUsedBytes === BLOCK_BYTES && !addBlock()) return discard();
        const part = bytes.subarray(
          offset,
          offset + BLOCK_BYTES - lastBlockUsedBytes,
        );
        blocks.at(-1)!.set(part, lastBlockUsedBytes);
        lastBlockUsedBytes += part.length;
        offset += part.length;
      }
    },
    read() {
      if (!isRetained) return undefined;
      const unusedBytes = BLOCK_BYTES - lastBlockUsedBytes;
      const all = Buffer.concat(blocks);
      return all.subarray(0, all.length - unusedBytes);
    },
    close: discard,
  };
}
