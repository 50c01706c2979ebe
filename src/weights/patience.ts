/**
 * How long a transfer waits for others before it acts by itself. The defaults
 * suit transfers of minutes; one of a few seconds cannot wait as long.
 */

export interface TransferPatience {
  /**
   * Covers a reconnection, and the time in which a new configuration reaches
   * agents that do not want the version yet.
   */
  readonly lostGraceMs: number;
  /** Longer than the time within which a peer loses a stalled request. */
  readonly noProgressMs: number;
  /** For an agent that makes progress, but not with this chunk. */
  readonly noChunkMs: number;
  /** Longest pause after failures of a source. */
  readonly maxBackoffMs: number;
}

export const DEFAULT_TIMEOUTS: TransferPatience = {
  lostGraceMs: 2_000,
  noProgressMs: 2_500,
  noChunkMs: 10_000,
  maxBackoffMs: 8_000,
};
