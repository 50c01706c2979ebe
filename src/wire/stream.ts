/**
 * One stream of a peer connection: messages and flow-controlled data in both
 * directions. Exactly one end frame closes each direction.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { Frame } from "./frame.ts";
import { parseMessage, parseTrailer } from "./messages.ts";
import type { OpenHead, StreamMessage, Trailer } from "./messages.ts";

export const INITIAL_CREDIT_BYTES = 256 * 1024;
const MAX_DATA_BYTES = 64 * 1024;
/** Messages use no credit, so the number of queued ones is bounded instead. */
const MAX_QUEUED_MESSAGES = 256;

export type StreamEvent =
  | { readonly type: "message"; readonly message: StreamMessage }
  | { readonly type: "data"; readonly bytes: Uint8Array }
  | { readonly type: "end"; readonly trailer: Trailer }
  /** The stream was aborted before its end frame arrived. */
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
  /** Sends the bytes, waiting for credit of the peer where necessary. */
  write(bytes: Uint8Array): Promise<Result<void, StreamLost>>;
  /**
   * Sends all bytes synchronously and returns true, or sends nothing and returns
   * false. In that case `write` waits for credit or returns the error of the
   * closed stream.
   */
  tryWrite(bytes: Uint8Array): boolean;
  /** Closes the sending direction. Nothing can be written afterwards. */
  end(trailer: Trailer): void;
  /** Closes both directions at once; the peer reads `lost`. */
  reset(reason: string): void;
  /** Resolves with the next event; after `end` or `lost` with the same again. */
  read(): Promise<StreamEvent>;
  /**
   * Calls the handler for each event, in the callback in which the event
   * arrives. While a promise of the handler is pending, it is not called again
   * and no credit is returned. Resolves after the last event or when the handler
   * returns "stop"; rejects with what the handler throws. Must not be combined
   * with `read`.
   */
  forEach(handler: EventHandler): Promise<void>;
  /** Calls `handler` once when the stream is reset or its connection closes. */
  onLost(handler: (reason: string) => void): void;
}

/** The connection's interface to a stream. */
export interface StreamController {
  readonly stream: Stream;
  onFrame(frame: Frame): "ok" | "flow_violation";
  abort(reason: string): void;
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
): StreamController {
  const { sendFrame, onFinished } = options;
  const events: StreamEvent[] = [];
  const readers: ((event: StreamEvent) => void)[] = [];
  let dispatch: (() => void) | undefined;
  const lostHandlers: ((reason: string) => void)[] = [];
  let finalEvent: StreamEvent | undefined;
  let lostReason: string | undefined;
  let isLocalEnded = false;
  let sendCreditBytes = INITIAL_CREDIT_BYTES;
  const creditWaiters: (() => void)[] = [];
  let receiveCreditBytes = INITIAL_CREDIT_BYTES;
  let consumedBytes = 0;
  let isFinished = false;

  function finishIfClosed() {
    const closed = lostReason !== undefined || (isLocalEnded && finalEvent);
    if (!closed || isFinished) return;
    isFinished = true;
    onFinished();
  }

  function enqueue(event: StreamEvent) {
    if (finalEvent !== undefined) return;
    if (event.type === "end" || event.type === "lost") finalEvent = event;
    const reader = readers.shift();
    if (reader === undefined) {
      events.push(event);
      dispatch?.();
    } else {
      returnCredit(event);
      reader(event);
    }
    if (finalEvent !== undefined) {
      const lastEvent = finalEvent;
      readers.splice(0).forEach((resolve) => resolve(lastEvent));
    }
  }

  /** A malformed frame resets its stream only, not the connection. */
  function enqueueMessage(body: unknown) {
    const message = parseMessage(body);
    if (message === undefined) return stream.reset("malformed_message");
    enqueue({ type: "message", message });
  }

  function enqueueEnd(rawTrailer: unknown) {
    const trailer = parseTrailer(rawTrailer);
    if (trailer === undefined) return stream.reset("malformed_trailer");
    enqueue({ type: "end", trailer });
    finishIfClosed();
  }

  function returnCredit(event: StreamEvent) {
    if (event.type !== "data") return;
    consumedBytes += event.bytes.length;
    if (consumedBytes < INITIAL_CREDIT_BYTES / 2 || finalEvent !== undefined)
      return;
    receiveCreditBytes += consumedBytes;
    sendFrame({ type: "credit", streamId: id, bytes: consumedBytes });
    consumedBytes = 0;
  }

  function abort(reason: string) {
    if (isFinished || lostReason !== undefined) return;
    lostReason = reason;
    enqueue({ type: "lost", reason });
    creditWaiters.splice(0).forEach((wake) => wake());
    lostHandlers.splice(0).forEach((handler) => handler(reason));
    finishIfClosed();
  }

  async function write(bytes: Uint8Array): Promise<Result<void, StreamLost>> {
    let offset = 0;
    while (offset < bytes.length) {
      if (lostReason !== undefined) return err(createStreamLost(lostReason));
      if (isLocalEnded) return err(createStreamLost("write after end"));
      if (sendCreditBytes <= 0) {
        await new Promise<void>((resolve) => creditWaiters.push(resolve));
        continue;
      }
      const size = Math.min(
        bytes.length - offset,
        sendCreditBytes,
        MAX_DATA_BYTES,
      );
      sendFrame({
        type: "data",
        streamId: id,
        bytes: bytes.subarray(offset, offset + size),
      });
      sendCreditBytes -= size;
      offset += size;
    }
    return lostReason === undefined ? ok() : err(createStreamLost(lostReason));
  }

  function forEach(handler: EventHandler): Promise<void> {
    return new Promise((resolve, reject) => {
      let isHandling = false;

      function settle(complete: () => void) {
        dispatch = undefined;
        complete();
      }

      function dispatchEvents() {
        // Reentrant if the handler resets the stream.
        if (isHandling) return;
        isHandling = true;
        try {
          for (;;) {
            const event = events.shift() ?? finalEvent;
            if (event === undefined) break;
            returnCredit(event);
            const next = handler(event);
            if (next === "stop" || event === finalEvent) return settle(resolve);
            if (next !== undefined) return void next.then(resume, fail);
          }
        } catch (error) {
          return fail(error);
        }
        isHandling = false;
      }

      function resume() {
        isHandling = false;
        dispatchEvents();
      }

      function fail(error: unknown) {
        settle(() => reject(error as Error));
      }

      dispatch = dispatchEvents;
      dispatchEvents();
    });
  }

  const stream: Stream = {
    id,
    head,
    write,
    forEach,
    tryWrite(bytes) {
      const isOpen = lostReason === undefined && !isLocalEnded;
      const limitBytes = Math.min(sendCreditBytes, MAX_DATA_BYTES);
      if (!isOpen || bytes.length > limitBytes) return false;
      if (bytes.length === 0) return true;
      sendFrame({ type: "data", streamId: id, bytes });
      sendCreditBytes -= bytes.length;
      return true;
    },
    send(message) {
      if (lostReason !== undefined) return err(createStreamLost(lostReason));
      if (isLocalEnded) return err(createStreamLost("send after end"));
      sendFrame({ type: "message", streamId: id, body: message });
      return ok();
    },
    end(trailer) {
      if (isLocalEnded || lostReason !== undefined) return;
      isLocalEnded = true;
      sendFrame({ type: "end", streamId: id, trailer });
      finishIfClosed();
    },
    reset(reason) {
      if (isFinished) return;
      sendFrame({ type: "reset", streamId: id, reason });
      abort(reason);
    },
    read() {
      const event = events.shift() ?? finalEvent;
      if (event !== undefined) {
        returnCredit(event);
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
    abort,
    onFrame(frame) {
      switch (frame.type) {
        case "message":
          if (events.length > MAX_QUEUED_MESSAGES) return "flow_violation";
          enqueueMessage(frame.body);
          return "ok";
        case "data":
          receiveCreditBytes -= frame.bytes.length;
          if (receiveCreditBytes < 0) return "flow_violation";
          enqueue({ type: "data", bytes: frame.bytes });
          return "ok";
        case "end":
          enqueueEnd(frame.trailer);
          return "ok";
        case "reset":
          abort(String(frame.reason));
          return "ok";
        case "credit":
          sendCreditBytes += frame.bytes;
          creditWaiters.splice(0).forEach((wake) => wake());
          return "ok";
        default:
          return "ok";
      }
    },
  };
}

function createStreamLost(reason: string): StreamLost {
  return { type: "stream_lost", reason };
}
