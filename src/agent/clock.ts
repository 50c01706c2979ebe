/** The clocks of a process, as a parameter so that tests can set them. */

export interface Clock {
  readonly wallMs: () => number;
  readonly monotonicMs: () => number;
}

export const SYSTEM_CLOCK: Clock = {
  wallMs: () => Date.now(),
  monotonicMs: () => performance.now(),
};
