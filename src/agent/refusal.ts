/**
 * Trailers for requests that the agent does not run or whose outcome is
 * unknown.
 */

import type { Trailer } from "../wire/mod.ts";

export function refuseAs(
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

export function unknownAs(code: string, message: string): Trailer {
  return { outcome: "unknown", code, message };
}
