/** Error responses: HTTP status, body and retry time for each error code. */

import type { Outcome } from "../wire/mod.ts";

export interface Refusal {
  readonly code: string;
  readonly message: string;
  /** More specific than the code; for metrics and logs, not for the caller. */
  readonly reason?: string;
  readonly outcome: Exclude<Outcome, "answered">;
  /** Time after which a retry is useful, before jitter. */
  readonly retryAfterMs?: number;
  /** A new idempotency key whose runner is reachable. */
  readonly suggestedKey?: string | undefined;
}

const STATUS_BY_CODE: Readonly<Record<string, number>> = {
  bad_request: 400,
  key_required: 400,
  key_not_time_ordered: 400,
  unknown_account: 401,
  unknown_model: 404,
  unknown_service: 404,
  unknown_route: 404,
  slow_request: 408,
  key_in_use: 409,
  body_too_large: 413,
  key_mismatch: 422,
  account_rate: 429,
  connection_lost: 502,
  key_outcome_unknown: 502,
  deadline_exceeded: 504,
};

const NOT_RUN_STATUS = 503;
const UNKNOWN_STATUS = 502;
const DEFAULT_RETRY_AFTER_MS = 1_000;
/**
 * Spreads the retries of callers that were refused together. The jitter covers
 * several values of Retry-After, which has whole seconds only.
 */
const MIN_JITTER_MS = 2_000;
const MAX_JITTER_MS = 10_000;

/**
 * A status of 502 or 504 always means an unknown outcome, and a status of 503
 * or 429 always means that the request did not run.
 */
export function getHttpStatus({ code, outcome }: Refusal): number {
  const status = STATUS_BY_CODE[code];
  if (outcome === "unknown") {
    return status === undefined ? UNKNOWN_STATUS : status;
  }
  return status === undefined || status >= 500 ? NOT_RUN_STATUS : status;
}

/** Undefined if a retry of the same request cannot succeed. */
export function jitterRetryAfterMs(
  refusal: Refusal,
  random: () => number,
): number | undefined {
  const status = getHttpStatus(refusal);
  if (status !== 429 && status !== NOT_RUN_STATUS) return undefined;
  const waitMs = Math.max(1, refusal.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS);
  const jitterMs = Math.min(Math.max(waitMs, MIN_JITTER_MS), MAX_JITTER_MS);
  return Math.ceil(waitMs + random() * jitterMs);
}

export function createErrorBody(
  refusal: Refusal,
  retryAfterMs: number | undefined,
): string {
  const { code, message, outcome } = refusal;
  return JSON.stringify({
    error: {
      type: getErrorType(refusal),
      code,
      message,
      outcome,
      retry_after_ms: retryAfterMs ?? null,
    },
  });
}

function getErrorType(refusal: Refusal): string {
  const status = getHttpStatus(refusal);
  if (refusal.outcome === "unknown") return "outcome_unknown";
  if (status === 429) return "rate_limited";
  return status >= 500 ? "unavailable" : "invalid_request";
}

/** A refusal by the entry before anything was sent to an agent. */
export function createNotRunRefusal(
  code: string,
  message: string,
  options: Pick<Refusal, "retryAfterMs" | "suggestedKey"> = {},
): Refusal {
  return { code, message, outcome: "not_run", ...options };
}
