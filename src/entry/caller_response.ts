/**
 * The response to one caller. Writes to the Node.js response directly, so that
 * its backpressure reaches the agent's stream.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Writable } from "node:stream";
import type { Outcome } from "../wire/mod.ts";
import {
  createErrorBody,
  jitterRetryAfterMs,
  getHttpStatus,
} from "./refusal.ts";
import type { Refusal } from "./refusal.ts";

export interface CallerResponseHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly versionDigest?: string | undefined;
}

export interface CallerResponse {
  isStarted(): boolean;
  /** True if an event stream has been started. */
  isEventStream(): boolean;
  /** True once the caller has closed its connection. */
  isDisconnected(): boolean;
  /** True while written data waits for the caller to read it. */
  isStalled(): boolean;
  /** Runs once if the caller disconnects before the response is complete. */
  onDisconnect(handler: () => void): void;
  /** Sends the head; the body follows in calls of `write`. */
  start(head: CallerResponseHead): void;
  /**
   * Undefined if more can be written at once; otherwise resolves when the
   * buffer has drained or the caller has disconnected.
   */
  write(bytes: Uint8Array): Promise<void> | undefined;
  end(bytes?: Uint8Array): void;
  sendComplete(head: CallerResponseHead, body: Uint8Array): void;
  refuse(refusal: Refusal): void;
  /** Ends a started event stream with an `error` event. */
  endWithError(refusal: Refusal): void;
  /** Closes the connection, so that the caller sees an incomplete response. */
  abort(): void;
}

export interface CallerResponseOptions {
  readonly random: () => number;
  /**
   * True while the entry shuts down: responses then close the connection, so
   * that callers open new ones to other entries.
   */
  readonly isDraining: () => boolean;
}

/** Hop-by-hop headers, and those that the entry sets itself. */
const EXCLUDED_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "content-length",
  "date",
  "keep-alive",
  "proxy-authenticate",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "zinniaspur-model-digest",
  "zinniaspur-outcome",
]);

const MAX_SMALL_BODY_BYTES = 64 * 1024;
const DISCARD_TIMEOUT_MS = 1_000;
const EVENT_STREAM = "text/event-stream";

export function createCallerResponse(
  outgoing: ServerResponse,
  options: CallerResponseOptions,
): CallerResponse {
  const { random, isDraining } = options;
  let hasWritten = false;
  // A write may fail after a disconnect, which the event `close` reports.
  outgoing.on("error", () => undefined);

  function isDisconnected(): boolean {
    return outgoing.destroyed || outgoing.socket?.destroyed === true;
  }

  function writeHead(
    status: number,
    headers: Readonly<Record<string, string | number>>,
    outcome: Outcome,
  ) {
    outgoing.writeHead(status, {
      ...headers,
      "zinniaspur-outcome": outcome,
      ...(isDraining() && { connection: "close" }),
    });
  }

  function pickHeaders({ headers, versionDigest }: CallerResponseHead) {
    const forwarded = Object.entries(headers).filter(
      ([name]) => !EXCLUDED_HEADERS.has(name.toLowerCase()),
    );
    return {
      ...Object.fromEntries(forwarded),
      ...(versionDigest !== undefined && {
        "zinniaspur-model-digest": versionDigest,
      }),
    };
  }

  return {
    isDisconnected,
    isStalled: () =>
      outgoing.writableNeedDrain || outgoing.socket?.writableNeedDrain === true,
    isEventStream: () =>
      outgoing.headersSent &&
      String(outgoing.getHeader("content-type")).startsWith(EVENT_STREAM),
    isStarted: () => outgoing.headersSent,
    onDisconnect(handler) {
      outgoing.once("close", () => {
        if (!outgoing.writableFinished) handler();
      });
    },
    start(head) {
      // getHeader cannot read headers that were only passed to writeHead.
      Object.entries(pickHeaders(head)).forEach(([name, value]) =>
        outgoing.setHeader(name, value),
      );
      writeHead(head.status, {}, "answered");
    },
    write(bytes) {
      // An empty chunk would mark the end of the body.
      if (isDisconnected() || outgoing.writableEnded || bytes.length === 0) {
        return undefined;
      }
      const { socket } = outgoing;
      // The first write also sends the head.
      if (!hasWritten || !outgoing.chunkedEncoding || socket === null) {
        hasWritten = true;
        return outgoing.write(bytes) ? undefined : waitForDrain(outgoing);
      }
      if (socket.write(encodeChunk(bytes))) return undefined;
      return waitForDrain(outgoing, socket);
    },
    end(bytes) {
      outgoing.end(bytes);
    },
    sendComplete(head, body) {
      // For these, RFC 9110 forbids Content-Length or gives it another meaning.
      const hasBody =
        head.status !== 204 &&
        head.status !== 304 &&
        outgoing.req.method !== "HEAD";
      const headers = {
        ...pickHeaders(head),
        ...(hasBody && { "content-length": body.length }),
      };
      writeHead(head.status, headers, "answered");
      outgoing.end(hasBody ? body : undefined);
    },
    refuse(refusal) {
      const retryAfterMs = jitterRetryAfterMs(refusal, random);
      const body = Buffer.from(createErrorBody(refusal, retryAfterMs));
      const isSlowRequest = refusal.code === "slow_request";
      const headers = {
        "content-type": "application/json",
        "content-length": body.length,
        ...(retryAfterMs !== undefined && {
          "retry-after": Math.ceil(retryAfterMs / 1000),
        }),
        ...(refusal.suggestedKey !== undefined && {
          "zinniaspur-suggested-key": refusal.suggestedKey,
        }),
        ...((isSlowRequest || !hasSmallRemainder(outgoing.req)) && {
          connection: "close",
        }),
      };
      writeHead(getHttpStatus(refusal), headers, refusal.outcome);
      if (isSlowRequest || hasSmallRemainder(outgoing.req)) outgoing.end(body);
      else endAfterDiscarding(outgoing, body);
    },
    endWithError(refusal) {
      const body = createErrorBody(refusal, undefined);
      outgoing.end(`event: error\ndata: ${body}\n\n`);
    },
    abort() {
      outgoing.destroy();
    },
  };
}

/** True if reading the rest costs less than a new connection. */
function hasSmallRemainder(request: IncomingMessage): boolean {
  const { headers } = request;
  if (request.complete) return true;
  if (headers["transfer-encoding"] !== undefined) return false;
  return Number(headers["content-length"] ?? 0) <= MAX_SMALL_BODY_BYTES;
}

/**
 * Sends the whole response at once, but keeps the connection open for a short
 * time and discards what still arrives: closing a connection with unread bytes
 * would make the caller's operating system drop the response.
 */
function endAfterDiscarding(outgoing: ServerResponse, body: Uint8Array) {
  const { req } = outgoing;
  const timer = setTimeout(settle, DISCARD_TIMEOUT_MS);
  function settle() {
    clearTimeout(timer);
    req.off("end", settle);
    req.off("close", settle);
    outgoing.end();
  }
  outgoing.write(body);
  req.on("end", settle);
  req.on("close", settle);
  req.resume();
}

/**
 * Encodes one chunk of a chunked body. Node.js would write the size, the line
 * breaks and the bytes as four parts at the end of the tick, which costs twice
 * as much for a chunk of one token.
 */
function encodeChunk(bytes: Uint8Array): Buffer {
  const size = `${bytes.length.toString(16)}\r\n`;
  const chunk = Buffer.allocUnsafe(size.length + bytes.length + 2);
  chunk.write(size, "latin1");
  chunk.set(bytes, size.length);
  chunk.write("\r\n", size.length + bytes.length, "latin1");
  return chunk;
}

function waitForDrain(
  outgoing: ServerResponse,
  target: Writable = outgoing,
): Promise<void> {
  return new Promise((resolve) => {
    function settle() {
      target.off("drain", settle);
      outgoing.off("close", settle);
      resolve();
    }
    target.on("drain", settle);
    outgoing.on("close", settle);
  });
}
