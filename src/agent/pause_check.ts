/**
 * Detects that this process was paused. The node's own check runs on a timer,
 * which may fire after other callbacks of the first event loop iteration after
 * the pause; this detector also compares the clocks on each call.
 */

import type { Clock } from "./clock.ts";

const TICK_MS = 200;
const PAUSE_THRESHOLD_MS = 1_000;

export interface PauseCheck {
  /** True from the end of a pause until the next tick. */
  wasPaused(): boolean;
  tick(): void;
  close(): void;
}

export interface PauseCheckOptions {
  readonly clock: Clock;
  /** Called once per pause, before `wasPaused` returns true for it. */
  readonly onPause: () => void;
}

export function createPauseCheck(options: PauseCheckOptions): PauseCheck {
  const { clock, onPause } = options;
  let lastReading = readClocks(clock);
  let isReported = false;

  function wasPaused(): boolean {
    const isPaused =
      computeElapsedMs(lastReading, readClocks(clock)) > PAUSE_THRESHOLD_MS;
    if (isPaused && !isReported) {
      isReported = true;
      onPause();
    }
    return isPaused;
  }

  function tick() {
    wasPaused();
    lastReading = readClocks(clock);
    isReported = false;
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

export function readClocks(clock: Clock): ClockReading {
  return { wallMs: clock.wallMs(), monotonicMs: clock.monotonicMs() };
}

/** The monotonic clock may stop while a host is suspended. */
export function computeElapsedMs(from: ClockReading, to: ClockReading): number {
  return Math.max(to.monotonicMs - from.monotonicMs, to.wallMs - from.wallMs);
}
