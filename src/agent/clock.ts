/** The clocks of a process, injected so that tests can control them. */

export interface Clock {
  readonly wallMs: () => number;
  readonly monotonicMs: () => number;
}

export const SYSTEM_CLOCK: Clock = {
  wallMs: () => Date.now(),
  monotonicMs: () => performance.now(),
};
