/**
 * Rate limit for downloads from other regions: each relay of the receiving
 * region gets an equal share of the link between regions. Chunks are assigned
 * evenly to relays, so equal shares use the whole link although no agent knows
 * what the others receive. Bandwidth is reserved before the request, so that a
 * download that waits for its share does not occupy an upload slot.
 */

/** The rest is for live traffic, whose total is not known to an agent. */
const USABLE_LINK_FRACTION = 0.9;

export interface RegionShare {
  reserve(sizeBytes: number): void;
  /** Time at which this agent's share is free again. */
  freeAtMs(): number;
}

export interface RegionShareOptions {
  readonly readBytesPerS: () => number;
  readonly countRelays: () => number;
  readonly nowMs: () => number;
}

export function createRegionShare(options: RegionShareOptions): RegionShare {
  const { readBytesPerS, countRelays, nowMs } = options;
  let freeAtMs = 0;
  return {
    reserve(sizeBytes) {
      const relayCount = Math.max(1, countRelays());
      const shareBytesPerS =
        (readBytesPerS() * USABLE_LINK_FRACTION) / relayCount;
      const chunkMs = (sizeBytes / shareBytesPerS) * 1000;
      freeAtMs = Math.max(nowMs() - chunkMs, freeAtMs) + chunkMs;
    },
    freeAtMs: () => freeAtMs,
  };
}
