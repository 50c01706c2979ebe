/**
 * Limits on the time that a transfer waits: for the agent to which a chunk is
 * assigned before another agent fetches the chunk, and after failures of a
 * source. The defaults suit transfers that take minutes; transfers of a few
 * seconds need shorter ones.
 */

export interface TransferTimeouts {
  /**
   * For an agent that is not connected. Covers a reconnection, and the time in
   * which a new configuration reaches agents that do not want the version yet.
   */
  readonly offlineGraceMs: number;
  /** For an agent without progress. Longer than a stalled request lasts. */
  readonly noProgressMs: number;
  /** For an agent that makes progress, but not with this chunk. */
  readonly noChunkMs: number;
  /** Longest backoff after failures of a source. */
  readonly maxBackoffMs: number;
}

export const DEFAULT_TIMEOUTS: TransferTimeouts = {
  offlineGraceMs: 2_000,
  noProgressMs: 2_500,
  noChunkMs: 10_000,
  maxBackoffMs: 8_000,
};
