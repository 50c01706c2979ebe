/**
 * The response to one caller, complete or as a stream of events. It has a length
 * or chunks even if that of the endpoint has neither: the kernel closes the
 * connections of a killed process in order, which would mark a response that is
 * delimited by the close as complete.
 */

import type { ServerResponse } from "node:http";
import { hasBody } from "../http/mod.ts";
import type { HttpHeaders } from "../http/mod.ts";
import type { BufferShare } from "./buffer_budget.ts";
import type { HeaderCodec } from "./call.ts";
import { sendRefusal } from "./refusal.ts";
import type { Refusal } from "./refusal.ts";

/** More than a connection holds for a caller that reads at once. */
const MAX_UNREAD_BYTES = 64 * 1024;

export interface CallerResponse {
  /** True once the head of a stream has been sent. */
  hasStarted(): boolean;
  sendComplete(status: number, headers: HttpHeaders, body: Buffer): void;
  /** The first call also sends the response head. */
  sendEvents(status: number, headers: HttpHeaders, bytes: Buffer): void;
  /** Completes a stream, including one without events. */
  endStream(status: number, headers: HttpHeaders): void;
  refuse(refusal: Refusal): void;
  /** Closes the connection so that the response is seen to be incomplete. */
  abort(reason: string): void;
  /** False once the response is complete or the caller has left. */
  isOpen(): boolean;
  /** True while the caller has not read much of what was sent. */
  isCongested(): boolean;
  /** Calls the handler once, when the caller has read what was sent. */
  onDrained(handler: () => void): void;
}

export function createCallerResponse({
  response,
  codec,
  openShare,
  onAbort,
}: {
  readonly response: ServerResponse;
  readonly codec: HeaderCodec;
  /** Opens a share for what the caller has not read. */
  readonly openShare: (end: () => void) => BufferShare;
  /** Called before the connection is closed. */
  readonly onAbort: (reason: string) => void;
}): CallerResponse {
  const unread = openShare(() => abort("buffers_full"));
  let hasStarted = false;
  // HTTP/1.0 has no chunks.
  const canSendChunks = response.useChunkedEncodingByDefault;
  const method = response.req.method ?? "GET";

  function start(status: number, headers: HttpHeaders, sentHeaders = headers) {
    if (hasStarted) return;
    response.writeHead(status, codec.writeResponseHeaders(sentHeaders));
    hasStarted = true;
  }

  /** Sent without its length, which a resumed run may not have. */
  function startStream(status: number, headers: HttpHeaders) {
    const { "content-length": _, ...otherHeaders } = headers;
    start(status, headers, otherHeaders);
  }

  function abort(reason: string) {
    onAbort(reason);
    // Without framing, a clean close would mark the response as complete.
    if (canSendChunks) response.socket?.destroy();
    else response.socket?.resetAndDestroy();
  }

  return {
    hasStarted: () => hasStarted,
    sendComplete(status, headers, body) {
      if (response.destroyed) return;
      if (!hasBody({ method, status })) {
        start(status, headers);
        response.end();
        return;
      }
      const { "content-length": _, ...otherHeaders } = headers;
      response.writeHead(status, [
        ...codec.writeResponseHeaders(otherHeaders),
        "content-length",
        String(body.length),
      ]);
      response.end(body);
      unread.hold(response.writableLength);
    },
    sendEvents(status, headers, bytes) {
      if (response.destroyed) return;
      startStream(status, headers);
      response.write(bytes);
      unread.hold(response.writableLength);
    },
    endStream(status, headers) {
      if (response.destroyed) return;
      startStream(status, headers);
      response.end();
    },
    refuse: (refusal) => sendRefusal(response, refusal),
    abort,
    // The response is destroyed some iterations after the end of the connection
    // is read.
    isOpen: () =>
      !response.destroyed &&
      !response.writableEnded &&
      response.req.socket.writable,
    isCongested: () =>
      response.writableNeedDrain && response.writableLength > MAX_UNREAD_BYTES,
    onDrained(handler) {
      response.once("drain", () => {
        unread.hold(response.writableLength);
        handler();
      });
    },
  };
}
