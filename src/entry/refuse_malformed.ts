/** Answers bytes that are not an HTTP request, or one that came too slowly. */

import type { Socket } from "node:net";
import type { EntryMetrics } from "./entry_metrics.ts";
import { createErrorBody, createNotRun } from "./refusal.ts";

const TIMEOUT_CODE = "ERR_HTTP_REQUEST_TIMEOUT";

export function refuseMalformed(
  error: NodeJS.ErrnoException,
  socket: Socket,
  metrics: EntryMetrics,
) {
  // A balancer may open connections that it does not use yet.
  const isUnused = socket.bytesRead === 0;
  // Once something was answered on the connection, more bytes could be taken
  // for a part of that answer.
  if (isUnused || !socket.writable || socket.bytesWritten > 0) {
    socket.destroy();
    return;
  }
  const refusal =
    error.code === TIMEOUT_CODE
      ? createNotRun("slow_request", "The request did not arrive in time")
      : createNotRun("bad_request", "The request is not valid HTTP/1.1");
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
