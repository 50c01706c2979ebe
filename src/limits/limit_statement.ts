/**
 * What an endpoint states about the rate of requests that it takes. Responses
 * on different connections overtake each other, so each statement is known to
 * be made only between the sending of a request and the arrival of the head of
 * its response.
 */

export interface LimitStatement {
  /** Requests per second from all entries together; Infinity for no limit. */
  readonly ratePerS: number;
  /** The statement was made after this. */
  readonly sentAtMs: number;
  /** The statement was made before this. */
  readonly heardAtMs: number;
}

/**
 * The statement that counts. Of two that may have been made in either order it
 * is the lower one: a limit is raised or ended only by the response to a request
 * that was sent after the limit was last heard.
 */
export function mergeStatements(
  current: LimitStatement | undefined,
  next: LimitStatement,
): LimitStatement {
  if (current === undefined || next.sentAtMs >= current.heardAtMs) return next;
  if (current.sentAtMs >= next.heardAtMs) return current;
  if (next.ratePerS !== current.ratePerS) {
    return next.ratePerS < current.ratePerS ? next : current;
  }
  return {
    ratePerS: next.ratePerS,
    sentAtMs: Math.max(current.sentAtMs, next.sentAtMs),
    heardAtMs: Math.max(current.heardAtMs, next.heardAtMs),
  };
}
