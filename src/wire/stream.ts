/**
 * One stream of a peer connection: messages and flow-controlled data in both
 * directions, each direction closed by exactly one end mark.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { Frame } from "./frame.ts";
import { parseMessage, parseTrailer } from "./messages.ts";
import type { OpenHead, StreamMessage, Trailer } from "./messages.ts";

export const INITIAL_CREDIT_BYTES = 256 * 1024;
const MAX_DATA_BYTES = 64 * 1024;
/** Messages carry no credit, so their number is bounded instead. */
const MAX_QUEUED_MESSAGES = 256;

export type StreamEvent =
  | { readonly type: "message"; readonly message: StreamMessage }
  | { readonly type: "data"; readonly bytes: Uint8Array }
  | { readonly type: "end"; readonly trailer: Trailer }
  /** The stream broke before its end mark. */
  | { readonly type: "lost"; readonly reason: string };

export type EventHandler = (
  event: StreamEvent,
) => Promise<unknown> | "stop" | undefined;

export interface StreamLost {
  readonly type: "stream_lost";
  readonly reason: string;
}

export interface Stream {
  readonly id: number;
  readonly head: OpenHead;
  send(message: StreamMessage): Result<void, StreamLost>;
  /** Waits until the reader has granted enough credit. */
  write(bytes: Uint8Array): Promise<Result<void, StreamLost>>;
  /**
   * Sends all bytes without a promise, or nothing and returns false; then
   * `write` waits for credit or tells why the stream is closed.
   */
  writeAtOnce(bytes: Uint8Array): boolean;
  /** Closes this direction. Nothing can be written afterwards. */
  end(trailer: Trailer): void;
  /** Ends both directions at once; the other side sees `lost`. */
  reset(reason: string): void;
  /** Next event; after `end` or `lost` the same event again. */
  read(): Promise<StreamEvent>;
  /**
   * Hands over each event in the callback in which it arrives. No further event
   * is handed over, and no credit returned, while the handler's promise is
   * pending. Resolves after the last event or when the handler says "stop";
   * rejects with what the handler throws. Not to be mixed with `read`.
   */
  forEach(handler: EventHandler): Promise<void>;
  /** Runs once when the other side resets or the connection closes. */
  onLost(handler: (reason: string) => void): void;
}

/** The connection's view of a stream. */
export interface StreamPort {
  readonly stream: Stream;
  onFrame(frame: Frame): "ok" | "flow_violation";
  lose(reason: string): void;
}

export interface StreamOptions {
  readonly sendFrame: (frame: Frame) => void;
  /** Called when both directions are closed. */
  readonly onFinished: () => void;
}

export function createStream(
  id: number,
  head: OpenHead,
  options: StreamOptions,
): StreamPort {
  const { sendFrame, onFinished } = options;
  const events: StreamEvent[] = [];
  const readers: ((event: StreamEvent) => void)[] = [];
  let handOver: (() => void) | undefined;
  const lostHandlers: ((reason: string) => void)[] = [];
  let last: StreamEvent | undefined;
  let lostReason: string | undefined;
  let localEnded = false;
  let creditBytes = INITIAL_CREDIT_BYTES;
  const onCredit: (() => void)[] = [];
  let allowedBytes = INITIAL_CREDIT_BYTES;
  let consumedBytes = 0;
  let finished = false;

  function finishIfClosed() {
    const closed = lostReason !== undefined || (localEnded && last);
    if (!closed || finished) return;
    finished = true;
    onFinished();
  }

  function deliver(event: StreamEvent) {
    if (last !== undefined) return;
    if (event.type === "end" || event.type === "lost") last = event;
    const reader = readers.shift();
    if (reader === undefined) {
      events.push(event);
      handOver?.();
    } else {
      consume(event);
      reader(event);
    }
    if (last !== undefined) {
      const final = last;
      readers.splice(0).forEach((waiting) => waiting(final));
    }
  }

  /** A stream whose frames cannot be read is lost, the connection is not. */
  function deliverMessage(body: unknown) {
    const message = parseMessage(body);
    if (message === undefined) return stream.reset("malformed_message");
    deliver({ type: "message", message });
  }

  function deliverEnd(rawTrailer: unknown) {
    const trailer = parseTrailer(rawTrailer);
    if (trailer === undefined) return stream.reset("malformed_trailer");
    deliver({ type: "end", trailer });
    finishIfClosed();
  }

  function consume(event: StreamEvent) {
    if (event.type !== "data") return;
    consumedBytes += event.bytes.length;
    if (consumedBytes < INITIAL_CREDIT_BYTES / 2 || last !== undefined) return;
    allowedBytes += consumedBytes;
    sendFrame({ type: "credit", streamId: id, bytes: consumedBytes });
    consumedBytes = 0;
  }

  function lose(reason: string) {
    if (finished || lostReason !== undefined) return;
    lostReason = reason;
    deliver({ type: "lost", reason });
    onCredit.splice(0).forEach((wake) => wake());
    lostHandlers.splice(0).forEach((handler) => handler(reason));
    finishIfClosed();
  }

  async function write(bytes: Uint8Array): Promise<Result<void, StreamLost>> {
    let offset = 0;
    while (offset < bytes.length) {
      if (lostReason !== undefined) return err(createLost(lostReason));
      if (localEnded) return err(createLost("write after end"));
      if (creditBytes <= 0) {
        await new Promise<void>((resolve) => onCredit.push(resolve));
        continue;
      }
      const size = Math.min(bytes.length - offset, creditBytes, MAX_DATA_BYTES);
      sendFrame({
        type: "data",
        streamId: id,
        bytes: bytes.subarray(offset, offset + size),
      });
      creditBytes -= size;
      offset += size;
    }
    return lostReason === undefined ? ok() : err(createLost(lostReason));
  }

  function forEach(handler: EventHandler): Promise<void> {
    return new Promise((resolve, reject) => {
      let isBusy = false;

      function finish(settle: () => void) {
        handOver = undefined;
        settle();
      }

      function handOverAll() {
        // The handler itself can cause an event by a reset.
        if (isBusy) return;
        isBusy = true;
        try {
          for (;;) {
            const event = events.shift() ?? last;
            if (event === undefined) break;
            consume(event);
            const next = handler(event);
            if (next === "stop" || event === last) return finish(resolve);
            if (next !== undefined) return void next.then(goOn, fail);
          }
        } catch (error) {
          return fail(error);
        }
        isBusy = false;
      }

      function goOn() {
        isBusy = false;
        handOverAll();
      }

      function fail(error: unknown) {
        finish(() => reject(error as Error));
      }

      handOver = handOverAll;
      handOverAll();
    });
  }

  const stream: Stream = {
    id,
    head,
    write,
    forEach,
    writeAtOnce(bytes) {
      const isOpen = lostReason === undefined && !localEnded;
      const limitBytes = Math.min(creditBytes, MAX_DATA_BYTES);
      if (!isOpen || bytes.length > limitBytes) return false;
      if (bytes.length === 0) return true;
      sendFrame({ type: "data", streamId: id, bytes });
      creditBytes -= bytes.length;
      return true;
    },
    send(message) {
      if (lostReason !== undefined) return err(createLost(lostReason));
      if (localEnded) return err(createLost("send after end"));
      sendFrame({ type: "message", streamId: id, body: message });
      return ok();
    },
    end(trailer) {
      if (localEnded || lostReason !== undefined) return;
      localEnded = true;
      sendFrame({ type: "end", streamId: id, trailer });
      finishIfClosed();
    },
    reset(reason) {
      if (finished) return;
      sendFrame({ type: "reset", streamId: id, reason });
      lose(reason);
    },
    read() {
      const event = events.shift() ?? last;
      if (event !== undefined) {
        consume(event);
        return Promise.resolve(event);
      }
      return new Promise((resolve) => readers.push(resolve));
    },
    onLost(handler) {
      if (lostReason === undefined) lostHandlers.push(handler);
      else handler(lostReason);
    },
  };

  return {
    stream,
    lose,
    onFrame(frame) {
      switch (frame.type) {
        case "message":
          if (events.length > MAX_QUEUED_MESSAGES) return "flow_violation";
          deliverMessage(frame.body);
          return "ok";
        case "data":
          allowedBytes -= frame.bytes.length;
          if (allowedBytes < 0) return "flow_violation";
          deliver({ type: "data", bytes: frame.bytes });
          return "ok";
        case "end":
          deliverEnd(frame.trailer);
          return "ok";
        case "reset":
          lose(String(frame.reason));
          return "ok";
        case "credit":
          creditBytes += frame.bytes;
          onCredit.splice(0).forEach((wake) => wake());
          return "ok";
        default:
          return "ok";
      }
    },
  };
}

function createLost(reason: string): StreamLost {
  return { type: "stream_lost", reason };
}
