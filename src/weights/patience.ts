/**
 * Timeouts after which an agent fetches a chunk in place of the agent that it
 * is assigned to. The defaults suit transfers that take minutes; transfers of a
 * few seconds need shorter ones.
 */

export interface TransferPatience {
  /**
   * For an agent that is not connected. Allows for a reconnection, and for the
   * time until a new configuration reaches agents that do not want the version
   * yet.
   */
  readonly lostGraceMs: number;
  /**
   * For an agent that receives no chunks. Longer than the timeout of a stalled
   * request.
   */
  readonly noProgressMs: number;
  /** For an agent that receives chunks, but not this one. */
  readonly noChunkMs: number;
  /** Upper bound of the backoff after failures of a source. */
  readonly maxBackoffMs: number;
}

export const DEFAULT_TIMEOUTS: TransferPatience = {
  lostGraceMs: 2_000,
  noProgressMs: 2_500,
  noChunkMs: 10_000,
  maxBackoffMs: 8_000,
};
