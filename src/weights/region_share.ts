/**
 * Each gateway of the receiving region takes an equal part of the link
 * between regions. Chunks are assigned evenly to gateways, so equal parts
 * fill the link although no agent knows what the others receive. A part is
 * taken before the request, so that a slow share holds no upload slot.
 */

/** Leaves room for live traffic, which the agents cannot see in total. */
const USABLE_LINK_FRACTION = 0.9;

export interface RegionShare {
  reserve(sizeBytes: number): void;
  /** Time from which this agent's share has room. */
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
