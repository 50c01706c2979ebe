/** Stand-in for a caller; makes one attempt at one gateway. */

import { request as httpRequest } from "node:http";

export interface AttemptOptions {
  readonly url: string;
  readonly attemptId: string;
  readonly apiKey: string;
  readonly remainingMs: number;
}

export interface AttemptResult {
  readonly attemptId: string;
  /** HTTP status; 0 if there was no response. */
  readonly status: number;
  readonly body: string;
  readonly isWhole: boolean;
  /** Time from the start of the attempt; undefined if no event arrived. */
  readonly firstEventMs: number | undefined;
  readonly longestPauseMs: number;
  readonly retryAfterMs: number | undefined;
}

export function callGateway(options: AttemptOptions): Promise<AttemptResult> {
  const { url, attemptId, apiKey, remainingMs } = options;
  const startedAtMs = performance.now();
  let firstEventMs: number | undefined;
  let lastEventAtMs = 0;
  let longestPauseMs = 0;
  let body = "";

  function recordEvent() {
    const now = performance.now();
    if (firstEventMs === undefined) firstEventMs = now - startedAtMs;
    else longestPauseMs = Math.max(longestPauseMs, now - lastEventAtMs);
    lastEventAtMs = now;
  }

  return new Promise((resolve) => {
    function finish(status: number, isWhole: boolean, retryAfter?: string) {
      resolve({
        attemptId,
        status,
        body,
        isWhole,
        firstEventMs,
        longestPauseMs,
        retryAfterMs:
          retryAfter === undefined ? undefined : Number(retryAfter) * 1_000,
      });
    }

    const request = httpRequest(
      `${url}/a/1`,
      {
        method: "POST",
        timeout: remainingMs,
        headers: {
          host: "desk.example",
          authorization: `Bearer ${apiKey}`,
          "attempt-id": attemptId,
          "deadline-ms": String(Math.round(remainingMs)),
          model: "m1",
          "token-usage": "100,25",
        },
      },
      (response) => {
        const status = response.statusCode!;
        response.on("data", (bytes: Buffer) => {
          body += bytes.toString();
          if (status === 200) recordEvent();
        });
        response.on("error", () => undefined);
        response.on("close", () =>
          finish(status, response.complete, response.headers["retry-after"]),
        );
      },
    );
    request.on("timeout", () => request.destroy());
    request.on("error", () => finish(0, false));
    request.end("prompt");
  });
}
