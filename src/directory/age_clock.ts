/**
 * A clock for the age of knowledge. It counts the larger of the monotonic and
 * the wall-clock advance, because a suspended machine may stop the one and an
 * operator may set the other. It can run fast, never slow: knowledge may be
 * taken for older than it is, not for younger.
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
