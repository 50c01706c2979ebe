/** Limits the memory that all requests together use for one purpose. */

export interface MemoryPool {
  /** Returns false and reserves nothing if the limit would be exceeded. */
  reserve(sizeBytes: number): boolean;
  release(sizeBytes: number): void;
  reservedBytes(): number;
}

export function createMemoryPool(limitBytes: number): MemoryPool {
  let reservedBytes = 0;
  return {
    reserve(sizeBytes) {
      if (reservedBytes + sizeBytes > limitBytes) return false;
      reservedBytes += sizeBytes;
      return true;
    },
    release(sizeBytes) {
      reservedBytes -= sizeBytes;
    },
    reservedBytes: () => reservedBytes,
  };
}
