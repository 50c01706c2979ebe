/**
 * Tells whether this process was just paused. The wake check of the node runs
 * on a timer, which may fire after other work of the first turn; this one is
 * evaluated when asked.
 */

import type { Clock } from "./clock.ts";

const TICK_MS = 200;
const MAX_GAP_MS = 1_000;

export interface PauseGuard {
  /** True from a pause until the first tick after it. */
  wasPaused(): boolean;
  tick(): void;
  close(): void;
}

export interface PauseGuardOptions {
  readonly clock: Clock;
  /** Runs once for each pause, before any work that follows it is judged. */
  readonly onPause: () => void;
}

export function createPauseGuard(options: PauseGuardOptions): PauseGuard {
  const { clock, onPause } = options;
  let last = readBoth(clock);
  let isNoted = false;

  function wasPaused(): boolean {
    const isPaused = elapsedMs(last, readBoth(clock)) > MAX_GAP_MS;
    if (isPaused && !isNoted) {
      isNoted = true;
      onPause();
    }
    return isPaused;
  }

  function tick() {
    wasPaused();
    last = readBoth(clock);
    isNoted = false;
  }
  const timer = setInterval(tick, TICK_MS);
  timer.unref();
  return {
    tick,
    wasPaused,
    close: () => clearInterval(timer),
  };
}

export interface ClockReading {
  readonly wallMs: number;
  readonly monotonicMs: number;
}

export function readBoth(clock: Clock): ClockReading {
  return { wallMs: clock.wallMs(), monotonicMs: clock.monotonicMs() };
}

/** The monotonic clock may stand still while a host is suspended. */
export function elapsedMs(from: ClockReading, to: ClockReading): number {
  return Math.max(to.monotonicMs - from.monotonicMs, to.wallMs - from.wallMs);
}
