/** Reasons for which an agent does not run a request. */

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
