/** A bound on the bytes that all requests together hold for one purpose. */

export interface MemoryPool {
  /** False if the bytes are not to be had; nothing is taken then. */
  take(sizeBytes: number): boolean;
  release(sizeBytes: number): void;
  usedBytes(): number;
}

export function createMemoryPool(limitBytes: number): MemoryPool {
  let used = 0;
  return {
    take(sizeBytes) {
      if (used + sizeBytes > limitBytes) return false;
      used += sizeBytes;
      return true;
    },
    release(sizeBytes) {
      used -= sizeBytes;
    },
    usedBytes: () => used,
  };
}
