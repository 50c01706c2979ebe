/**
 * Detects pauses of this process: two ticks of a 200 ms timer were more than a
 * second apart.
 */

import type { Clock } from "./clock.ts";

const TICK_INTERVAL_MS = 200;
const MIN_PAUSE_MS = 1_000;

export interface PauseDetector {
  /** True if the last tick is so old that the process must have been paused. */
  isPaused(): boolean;
  close(): void;
}

export interface PauseDetectorOptions {
  readonly clock: Clock;
  readonly onResume: (pausedMs: number) => void;
}

export function createPauseDetector(
  options: PauseDetectorOptions,
): PauseDetector {
  const { clock, onResume } = options;
  let lastTick = readClock(clock);

  function measureGapMs(): number {
    const now = readClock(clock);
    // The monotonic clock of a suspended host may stop; its wall clock doesn't.
    return Math.max(
      now.wallMs - lastTick.wallMs,
      now.monotonicMs - lastTick.monotonicMs,
    );
  }

  const timer = setInterval(() => {
    const gapMs = measureGapMs();
    lastTick = readClock(clock);
    if (gapMs > MIN_PAUSE_MS) onResume(gapMs);
  }, TICK_INTERVAL_MS);

  return {
    isPaused: () => measureGapMs() > MIN_PAUSE_MS,
    close: () => clearInterval(timer),
  };
}

function readClock(clock: Clock) {
  return { wallMs: clock.wallMs(), monotonicMs: clock.monotonicMs() };
}
