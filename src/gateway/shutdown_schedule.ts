/**
 * The steps of a graceful shutdown, as times since the signal. The platform
 * kills the process at the end of the grace period, whatever it still does.
 */

/**
 * The load balancer stops sending requests after two failed readiness checks,
 * one second apart.
 */
const LOAD_BALANCER_DRAIN_MS = 2_500;
/**
 * Before the end of the grace period: half of it for sending the last
 * responses, half for closing everything else.
 */
const MAX_MARGIN_MS = 600;
/** A short grace period leaves most of its time for the calls in progress. */
const MARGIN_SHARE = 0.1;

export interface ShutdownSchedule {
  /** From now on all new requests are refused. */
  readonly refuseMs: number;
  /** Each call without a response gets one now. */
  readonly answerMs: number;
  /** All connections are closed. */
  readonly closeMs: number;
}

export function createShutdownSchedule(graceMs: number): ShutdownSchedule {
  const marginMs = Math.min(MAX_MARGIN_MS, graceMs * MARGIN_SHARE);
  const answerMs = graceMs - marginMs;
  return {
    refuseMs: Math.min(LOAD_BALANCER_DRAIN_MS, answerMs),
    answerMs,
    closeMs: graceMs - marginMs / 2,
  };
}
