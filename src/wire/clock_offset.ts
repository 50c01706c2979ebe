/**
 * Estimates how far the peer's clock is ahead, from the response to a ping. The
 * peer is assumed to read its clock half a round trip before the response
 * arrives, which is wrong by at most half a round trip.
 */

/** The error of a sample is at most half of this. */
const MAX_ROUND_TRIP_MS = 300;

export interface ClockOffset {
  onPing(): void;
  onPong(remoteWallMs: unknown): void;
  /** The latest sample; undefined before the first. */
  aheadMs(): number | undefined;
  /** Last round trip, or the duration of the pending one if that is longer. */
  roundTripMs(): number | undefined;
}

export function createClockOffset(wallMs: () => number): ClockOffset {
  let pingSentAtMs: number | undefined;
  let aheadMs: number | undefined;
  let lastRoundTripMs: number | undefined;
  return {
    onPing() {
      pingSentAtMs ??= performance.now();
    },
    onPong(remoteWallMs) {
      if (pingSentAtMs === undefined) return;
      const roundTripMs = performance.now() - pingSentAtMs;
      pingSentAtMs = undefined;
      lastRoundTripMs = roundTripMs;
      if (!Number.isFinite(remoteWallMs)) return;
      if (roundTripMs > MAX_ROUND_TRIP_MS) return;
      aheadMs = (remoteWallMs as number) + roundTripMs / 2 - wallMs();
    },
    aheadMs: () => aheadMs,
    roundTripMs() {
      if (pingSentAtMs === undefined) return lastRoundTripMs;
      return Math.max(lastRoundTripMs ?? 0, performance.now() - pingSentAtMs);
    },
  };
}
