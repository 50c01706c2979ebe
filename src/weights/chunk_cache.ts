/**
 * Verified chunks by digest, held in buffers outside the JavaScript heap.
 * Chunks that a new version shares with an old one are kept and not fetched
 * again.
 */

export interface ChunkCache {
  /**
   * Sets room aside for a chunk, evicting the oldest chunks that `isKept`
   * does not name. False if there is not enough room even so.
   */
  reserve(sizeBytes: number, isKept: (digest: string) => boolean): boolean;
  /** Gives back reserved room. */
  release(sizeBytes: number): void;
  /** Turns reserved room into a held chunk. */
  put(digest: string, bytes: Uint8Array): void;
  get(digest: string): Uint8Array | undefined;
  /** Bytes held and reserved. */
  usedBytes(): number;
}

export function createChunkCache(memoryBytes: number): ChunkCache {
  const chunks = new Map<string, Uint8Array>();
  let usedBytes = 0;

  return {
    reserve(sizeBytes, isKept) {
      for (const [digest, bytes] of chunks) {
        if (usedBytes + sizeBytes <= memoryBytes) break;
        if (isKept(digest)) continue;
        chunks.delete(digest);
        usedBytes -= bytes.length;
      }
      if (usedBytes + sizeBytes > memoryBytes) return false;
      usedBytes += sizeBytes;
      return true;
    },
    release(sizeBytes) {
      usedBytes -= sizeBytes;
    },
    put(digest, bytes) {
      if (chunks.has(digest)) usedBytes -= bytes.length;
      else chunks.set(digest, bytes);
    },
    get: (digest) => chunks.get(digest),
    usedBytes: () => usedBytes,
  };
}
