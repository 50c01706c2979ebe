/** Responds to bytes that are not HTTP, and to requests that time out. */

import type { Socket } from "node:net";
import type { EntryMetrics } from "./entry_metrics.ts";
import { createErrorBody, createNotRunRefusal } from "./refusal.ts";

const TIMEOUT_CODE = "ERR_HTTP_REQUEST_TIMEOUT";

export function refuseMalformed(
  error: NodeJS.ErrnoException,
  socket: Socket,
  metrics: EntryMetrics,
) {
  // A load balancer may open connections before it uses them.
  const isUnused = socket.bytesRead === 0;
  // After an earlier response on the connection, an error response could be read
  // as a part of it.
  if (isUnused || !socket.writable || socket.bytesWritten > 0) {
    socket.destroy();
    return;
  }
  const refusal =
    error.code === TIMEOUT_CODE
      ? createNotRunRefusal(
          "slow_request",
          "The request did not arrive in time",
        )
      : createNotRunRefusal("bad_request", "The request is not valid HTTP/1.1");
  const status =
    error.code === TIMEOUT_CODE ? "408 Request Timeout" : "400 Bad Request";
  const body = createErrorBody(refusal, undefined);
  metrics.refusals.increment({ reason: refusal.code });
  metrics.requests.increment({ outcome: refusal.outcome });
  socket.end(
    [
      `HTTP/1.1 ${status}`,
      "Content-Type: application/json",
      `Content-Length: ${Buffer.byteLength(body)}`,
      "Connection: close",
      "Zinniaspur-Outcome: not_run",
      "",
      body,
    ].join("\r\n"),
  );
}
