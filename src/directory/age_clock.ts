/**
 * A clock for measuring the age of data. It advances by the larger of the
 * monotonic and the wall-clock advance, because the monotonic clock may stop
 * while the host is suspended and an operator may set the wall clock. It can
 * run fast but never slow, so an age can be overestimated but not
 * underestimated.
 */

export interface AgeClock {
  nowMs(): number;
}

export interface ClockPair {
  readonly monotonicMs: () => number;
  readonly wallMs: () => number;
}

const SYSTEM_CLOCKS: ClockPair = {
  monotonicMs: () => performance.now(),
  wallMs: () => Date.now(),
};

export function createAgeClock(clocks: ClockPair = SYSTEM_CLOCKS): AgeClock {
  let lastMonotonicMs = clocks.monotonicMs();
  let lastWallMs = clocks.wallMs();
  let elapsedMs = 0;
  return {
    nowMs() {
      const monotonicMs = clocks.monotonicMs();
      const wallMs = clocks.wallMs();
      elapsedMs += Math.max(
        0,
        monotonicMs - lastMonotonicMs,
        wallMs - lastWallMs,
      );
      lastMonotonicMs = monotonicMs;
      lastWallMs = wallMs;
      return elapsedMs;
    },
  };
}
