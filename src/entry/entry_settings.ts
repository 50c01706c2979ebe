/** The settings that the entry needs; the process settings hold more. */

export interface EntrySettings {
  /** "IP:port" for callers. */
  readonly httpAddress: string;
  readonly maxBodyBytes: number;
  /** Time that a caller has to send its whole request. */
  readonly bodyTimeoutMs: number;
  /** Time from the end of the request body to the end of the answer. */
  readonly requestTimeoutMs: number;
  /**
   * Time for which a leaving entry still takes new work, so that the load
   * balancer sees that it is not ready before requests are refused.
   */
  readonly drainNoticeMs: number;
}
