/**
 * Cache of verified chunks by digest, in buffers outside the JavaScript heap.
 * Chunks that a new version shares with an old one are not fetched again.
 */

export interface ChunkCache {
  /**
   * Reserves memory for a chunk, evicting the oldest chunks for which `isKept`
   * is false. Returns false if that does not free enough memory.
   */
  reserve(sizeBytes: number, isKept: (digest: string) => boolean): boolean;
  /** Releases a reservation that was not used. */
  release(sizeBytes: number): void;
  /** Stores a chunk in memory reserved for it. */
  put(digest: string, bytes: Uint8Array): void;
  get(digest: string): Uint8Array | undefined;
  /** Stored and reserved bytes. */
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
