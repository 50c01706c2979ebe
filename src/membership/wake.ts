/**
 * Detects that this process was paused: a timer that should tick every 200 ms
 * came more than a second late.
 */

import type { Clock } from "./clock.ts";

const TICK_MS = 200;
const PAUSE_MS = 1_000;

export interface WakeDetector {
  /** True when the last tick is so old that the process must have paused. */
  isLate(): boolean;
  close(): void;
}

export interface WakeOptions {
  readonly clock: Clock;
  readonly onWake: (pausedMs: number) => void;
}

export function createWakeDetector(options: WakeOptions): WakeDetector {
  const { clock, onWake } = options;
  let last = readClock(clock);

  function measureGapMs(): number {
    const now = readClock(clock);
    // A suspended machine may stop its monotonic clock but not its wall clock.
    return Math.max(
      now.wallMs - last.wallMs,
      now.monotonicMs - last.monotonicMs,
    );
  }

  const timer = setInterval(() => {
    const gapMs = measureGapMs();
    last = readClock(clock);
    if (gapMs > PAUSE_MS) onWake(gapMs);
  }, TICK_MS);

  return {
    isLate: () => measureGapMs() > PAUSE_MS,
    close: () => clearInterval(timer),
  };
}

function readClock(clock: Clock) {
  return { wallMs: clock.wallMs(), monotonicMs: clock.monotonicMs() };
}
