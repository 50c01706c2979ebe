/**
 * The answer to one caller, written on the Node.js response directly, because
 * its backpressure must reach the agent's stream.
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Writable } from "node:stream";
import type { Outcome } from "../wire/mod.ts";
import { createErrorBody, jitterRetryAfterMs, readStatus } from "./refusal.ts";
import type { Refusal } from "./refusal.ts";

export interface AnswerHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly versionDigest?: string | undefined;
}

export interface CallerResponse {
  isStarted(): boolean;
  /** True if a stream of events has been started. */
  isEventStream(): boolean;
  /** True once the caller has closed its connection. */
  isGone(): boolean;
  /** True while the caller has not read what was written. */
  isStalled(): boolean;
  /** Runs once if the caller leaves before its answer is complete. */
  onGone(handler: () => void): void;
  /** Sends the head; the body follows in pieces. */
  start(head: AnswerHead): void;
  /**
   * Undefined if more can be written at once, otherwise resolves when the
   * caller has read enough or has left.
   */
  write(bytes: Uint8Array): Promise<void> | undefined;
  end(bytes?: Uint8Array): void;
  sendWhole(head: AnswerHead, body: Uint8Array): void;
  refuse(refusal: Refusal): void;
  /** Ends a started event stream with an `error` event. */
  endWithError(refusal: Refusal): void;
  /** Closes the connection, so that a started answer is seen as cut off. */
  abort(): void;
}

export interface CallerResponseOptions {
  readonly random: () => number;
  /** True while the entry wants callers to open new connections elsewhere. */
  readonly isDraining: () => boolean;
}

/** Headers of one hop, and those that the entry sets itself. */
const OWN_HEADERS: ReadonlySet<string> = new Set([
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

const MAX_SHORT_BYTES = 64 * 1024;
const DISCARD_TIMEOUT_MS = 1_000;
const EVENT_STREAM = "text/event-stream";

export function createCallerResponse(
  outgoing: ServerResponse,
  options: CallerResponseOptions,
): CallerResponse {
  const { random, isDraining } = options;
  let hasWritten = false;
  // A write can fail after the caller left; `close` reports that.
  outgoing.on("error", () => undefined);

  function isGone(): boolean {
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

  function pickHeaders({ headers, versionDigest }: AnswerHead) {
    const kept = Object.entries(headers).filter(
      ([name]) => !OWN_HEADERS.has(name.toLowerCase()),
    );
    return {
      ...Object.fromEntries(kept),
      ...(versionDigest !== undefined && {
        "zinniaspur-model-digest": versionDigest,
      }),
    };
  }

  return {
    isGone,
    isStalled: () =>
      outgoing.writableNeedDrain || outgoing.socket?.writableNeedDrain === true,
    isEventStream: () =>
      outgoing.headersSent &&
      String(outgoing.getHeader("content-type")).startsWith(EVENT_STREAM),
    isStarted: () => outgoing.headersSent,
    onGone(handler) {
      outgoing.once("close", () => {
        if (!outgoing.writableFinished) handler();
      });
    },
    start(head) {
      // Headers given to writeHead alone cannot be read back later.
      Object.entries(pickHeaders(head)).forEach(([name, value]) =>
        outgoing.setHeader(name, value),
      );
      writeHead(head.status, {}, "answered");
    },
    write(bytes) {
      // An empty chunk would mark the end of the body.
      if (isGone() || outgoing.writableEnded || bytes.length === 0) {
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
    sendWhole(head, body) {
      // RFC 9110 allows no Content-Length here, or gives it another meaning.
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
      const isSlow = refusal.code === "slow_request";
      const headers = {
        "content-type": "application/json",
        "content-length": body.length,
        ...(retryAfterMs !== undefined && {
          "retry-after": Math.ceil(retryAfterMs / 1000),
        }),
        ...(refusal.suggestedKey !== undefined && {
          "zinniaspur-suggested-key": refusal.suggestedKey,
        }),
        ...((isSlow || !isShort(outgoing.req)) && { connection: "close" }),
      };
      writeHead(readStatus(refusal), headers, refusal.outcome);
      if (isSlow || isShort(outgoing.req)) outgoing.end(body);
      else endAfterRequest(outgoing, body);
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

/** True if the rest of the request is not worth a new connection. */
function isShort(request: IncomingMessage): boolean {
  const { headers } = request;
  if (request.complete) return true;
  if (headers["transfer-encoding"] !== undefined) return false;
  return Number(headers["content-length"] ?? 0) <= MAX_SHORT_BYTES;
}

/**
 * Sends the whole response at once, but keeps the connection for a moment and
 * discards what still arrives: closing a connection with unread bytes would
 * make the caller's system drop the response.
 */
function endAfterRequest(outgoing: ServerResponse, body: Uint8Array) {
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
 * A chunk of the body as it is sent. Node.js would write size, line breaks and
 * bytes as four parts at the end of the tick, which costs twice as much for a
 * chunk of one token.
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
