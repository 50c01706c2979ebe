/** Time sources; tests replace them to move time at will. */

export interface Clock {
  /** Milliseconds since 1970 by this host's clock. */
  wallMs(): number;
  /** Milliseconds from an arbitrary start; never goes back. */
  monotonicMs(): number;
}

export const SYSTEM_CLOCK: Clock = {
  wallMs: () => Date.now(),
  monotonicMs: () => performance.now(),
};
