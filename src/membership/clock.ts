/** Time sources, which tests can replace. */

export interface Clock {
  /** Milliseconds since the Unix epoch by this host's clock. */
  wallMs(): number;
  /** Milliseconds since an arbitrary start; never decreases. */
  monotonicMs(): number;
}

export const SYSTEM_CLOCK: Clock = {
  wallMs: () => Date.now(),
  monotonicMs: () => performance.now(),
};
