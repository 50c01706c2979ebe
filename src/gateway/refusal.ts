/** Error responses made by the gateway itself. */

import type { ServerResponse } from "node:http";

export interface Refusal {
  readonly status: number;
  readonly reason: string;
  /** Only with a status which states that the request has not run. */
  readonly retryAfterMs?: number | undefined;
}

/** States that the request has not run and never will. */
export const STATUS_NOT_RUN = 503;
/** The request was not read in time, and has not run. */
export const STATUS_REQUEST_TIMEOUT = 408;
/** The request may have run. */
export const STATUS_OUTCOME_UNKNOWN = 502;
export const STATUS_TIMEOUT = 504;

/** Rounded up, so that the caller does not come back too early. */
export function formatRetryAfter(retryAfterMs: number): string {
  return (Math.ceil(retryAfterMs / 10) / 100).toFixed(2);
}

export function sendRefusal(response: ServerResponse, refusal: Refusal) {
  if (response.headersSent || response.destroyed) return;
  const body = JSON.stringify({ error: refusal.reason });
  response.writeHead(refusal.status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
    ...(refusal.retryAfterMs !== undefined && {
      "retry-after": formatRetryAfter(refusal.retryAfterMs),
    }),
  });
  response.end(body);
}
