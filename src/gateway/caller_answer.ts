/**
 * The response to one caller, complete or as a stream of events. A response of
 * an endpoint that is delimited by the close of the connection is sent on in
 * the same way: a crashed endpoint can also close its connection cleanly, so
 * adding a length or a last chunk could mark a truncated body as complete.
 */

import type { ServerResponse } from "node:http";
import { hasBody, isEndedByClose } from "../http/mod.ts";
import type { HttpHeaders } from "../http/mod.ts";
import type { HeaderCodec } from "./call.ts";
import { sendRefusal } from "./refusal.ts";
import type { Refusal } from "./refusal.ts";

export interface CallerAnswer {
  /** True once the head of a stream has been sent. */
  hasBegun(): boolean;
  sendWhole(status: number, headers: HttpHeaders, body: Buffer): void;
  /** The first call also sends the response head. */
  sendEvents(status: number, headers: HttpHeaders, bytes: Buffer): void;
  /** Completes a stream, including one without events. */
  endStream(status: number, headers: HttpHeaders): void;
  refuse(refusal: Refusal): void;
  /** Closes the connection so that the response is seen to be incomplete. */
  breakOff(): void;
  isOpen(): boolean;
}

export function createCallerAnswer(
  response: ServerResponse,
  codec: HeaderCodec,
): CallerAnswer {
  let hasBegun = false;
  let isMarkedByClose = false;
  const method = response.req.method ?? "GET";

  function begin(status: number, headers: HttpHeaders) {
    if (hasBegun) return;
    hasBegun = true;
    isMarkedByClose = isEndedByClose({ method, status, headers });
    if (isMarkedByClose) response.useChunkedEncodingByDefault = false;
    response.writeHead(status, codec.writeAnswer(headers));
  }

  function breakOff() {
    // Without framing, a clean close would mark the response as complete.
    if (isMarkedByClose) response.socket?.resetAndDestroy();
    else response.socket?.destroy();
  }

  return {
    hasBegun: () => hasBegun,
    sendWhole(status, headers, body) {
      if (response.destroyed) return;
      if (!hasBody({ method, status })) {
        begin(status, headers);
        response.end();
        return;
      }
      if (isEndedByClose({ method, status, headers })) {
        begin(status, headers);
        response.flushHeaders();
        response.write(body);
        response.end();
        return;
      }
      const { "content-length": _, ...rest } = headers;
      response.writeHead(status, [
        ...codec.writeAnswer(rest),
        "content-length",
        String(body.length),
      ]);
      response.end(body);
    },
    sendEvents(status, headers, bytes) {
      if (response.destroyed) return;
      begin(status, headers);
      response.write(bytes);
    },
    endStream(status, headers) {
      if (response.destroyed) return;
      begin(status, headers);
      const isEndVague = isEndedByClose({ method, status, headers });
      if (isEndVague && !isMarkedByClose) return breakOff();
      response.end();
    },
    refuse: (refusal) => sendRefusal(response, refusal),
    breakOff,
    isOpen: () => !response.destroyed && !response.writableEnded,
  };
}
