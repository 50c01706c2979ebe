/**
 * Trailers for requests that the agent does not run or whose outcome is
 * unknown.
 */

import type { Trailer } from "../wire/mod.ts";

export function createRefusal(
  code: string,
  message: string,
  retryAfterMs?: number,
): Trailer {
  return {
    outcome: "not_run",
    code,
    message,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  };
}

export function createUnknownOutcome(code: string, message: string): Trailer {
  return { outcome: "unknown", code, message };
}
