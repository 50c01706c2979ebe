/**
 * Each gateway of the receiving region takes an equal part of the link
 * between regions. Chunks are assigned evenly to gateways, so equal parts
 * fill the link although no agent knows what the others receive. A part is
 * taken before the request, so that a slow share holds no upload slot.
 */

/** Leaves room for live traffic, which the agents cannot see in total. */
const REGION_SHARE = 0.9;

export interface RegionShare {
  take(sizeBytes: number): void;
  /** Time from which this agent's share has room. */
  freeAtMs(): number;
}

export interface RegionShareOptions {
  readonly readBytesPerS: () => number;
  readonly countGateways: () => number;
  readonly nowMs: () => number;
}

export function createRegionShare(options: RegionShareOptions): RegionShare {
  const { readBytesPerS, countGateways, nowMs } = options;
  let freeAtMs = 0;
  return {
    take(sizeBytes) {
      const senders = Math.max(1, countGateways());
      const shareBytesPerS = (readBytesPerS() * REGION_SHARE) / senders;
      const chunkMs = (sizeBytes / shareBytesPerS) * 1000;
      freeAtMs = Math.max(nowMs() - chunkMs, freeAtMs) + chunkMs;
    },
    freeAtMs: () => freeAtMs,
  };
}
