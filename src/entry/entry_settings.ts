/** The part of the process settings that the entry uses. */

export interface EntrySettings {
  /** "IP:port" on which callers connect. */
  readonly httpAddress: string;
  readonly maxBodyBytes: number;
  /** Time within which a caller must send its whole request. */
  readonly bodyTimeoutMs: number;
  /** Time from the end of the request body to the end of the response. */
  readonly requestTimeoutMs: number;
  /**
   * Time for which an entry that shuts down still accepts requests, so that the
   * load balancer sees the failed readiness check before requests are refused.
   */
  readonly drainNoticeMs: number;
}
