/**
 * Estimates how far the other side's clock is ahead, from the answer to a ping:
 * the clock is read half a round trip before the answer arrives, give or take
 * half a round trip.
 */

/** Bounds the error of a sample to half of it. */
const MAX_ROUND_TRIP_MS = 300;

export interface ClockOffset {
  onPing(): void;
  onPong(remoteWallMs: unknown): void;
  /** Newest sample; undefined before the first. */
  aheadMs(): number | undefined;
  /** Last round trip, or the time for which a longer one has lasted so far. */
  roundTripMs(): number | undefined;
}

export function createClockOffset(wallMs: () => number): ClockOffset {
  let pingedAtMs: number | undefined;
  let aheadMs: number | undefined;
  let lastRoundTripMs: number | undefined;
  return {
    onPing() {
      pingedAtMs ??= performance.now();
    },
    onPong(remoteWallMs) {
      if (pingedAtMs === undefined) return;
      const roundTripMs = performance.now() - pingedAtMs;
      pingedAtMs = undefined;
      lastRoundTripMs = roundTripMs;
      if (!Number.isFinite(remoteWallMs)) return;
      if (roundTripMs > MAX_ROUND_TRIP_MS) return;
      aheadMs = (remoteWallMs as number) + roundTripMs / 2 - wallMs();
    },
    aheadMs: () => aheadMs,
    roundTripMs() {
      if (pingedAtMs === undefined) return lastRoundTripMs;
      return Math.max(lastRoundTripMs ?? 0, performance.now() - pingedAtMs);
    },
  };
}
