/** Forwards an agent's response: events at once, other bodies buffered. */

import { findCompleteEventsLength } from "../http/mod.ts";
import type { ResponseHead } from "../wire/mod.ts";
import type { Call } from "./call.ts";
import type { EntryMetrics } from "./entry_metrics.ts";
import {
  containsErrorEvent,
  DONE_EVENT,
  findDoneEventLength,
  rewriteContinuedEvents,
} from "./event_stream.ts";
import type { StreamProgress } from "./event_stream.ts";

/** Larger bodies are forwarded before they are complete. */
const MAX_BUFFERED_BYTES = 1024 * 1024;
const MAX_EVENT_BYTES = 1024 * 1024;
const EMPTY_BUFFER = Buffer.alloc(0);

export type SinkError = "cut_off" | "event_too_large" | "not_continued";

export interface ResponseSink {
  /** Returns a promise if the caller must read before more is pushed. */
  push(bytes: Uint8Array): Promise<void> | SinkError | undefined;
  /** Ends the response, unless it has no end although the agent's has one. */
  finish(): SinkError | undefined;
}

export interface SinkOptions {
  readonly metrics: EntryMetrics;
  /** Set if the caller already has a part of the response. */
  readonly progress?: StreamProgress | undefined;
}

export function isEventStream({ headers }: ResponseHead): boolean {
  const name = Object.keys(headers).find(
    (key) => key.toLowerCase() === "content-type",
  );
  return name !== undefined && headers[name]!.startsWith("text/event-stream");
}

/**
 * Forwards complete events only. Holds the final `[DONE]` back until the agent
 * has ended the stream, so that a caller that gets it has the whole response.
 */
export function createEventSink(
  call: Call,
  head: ResponseHead,
  options: SinkOptions,
): ResponseSink {
  const { caller, sentEvents } = call;
  const { metrics, progress } = options;
  let incompleteEvent: Buffer = EMPTY_BUFFER;
  let hasDone = false;

  function startResponse() {
    if (!caller.isStarted()) caller.start(head);
  }

  return {
    push(bytes) {
      const combined =
        incompleteEvent.length === 0
          ? toBuffer(bytes)
          : concatBuffers(incompleteEvent, bytes);
      const completeBytes = findCompleteEventsLength(combined);
      incompleteEvent =
        completeBytes === combined.length
          ? EMPTY_BUFFER
          : Buffer.from(combined.subarray(completeBytes));
      if (incompleteEvent.length > MAX_EVENT_BYTES) return "event_too_large";
      let events = combined.subarray(0, completeBytes);
      const doneBytes = findDoneEventLength(events);
      if (doneBytes > 0) {
        hasDone = true;
        events = events.subarray(0, events.length - doneBytes);
      }
      if (progress !== undefined) {
        if (containsErrorEvent(events)) return "not_continued";
        events = rewriteContinuedEvents(events, progress);
      }
      if (events.length === 0) return undefined;
      const isFirst = !caller.isStarted();
      startResponse();
      (isFirst ? metrics.firstToken : metrics.betweenTokens).record(
        call.measureIntervalMs(),
      );
      if (call.request.service.kind === "language") sentEvents.append(events);
      return caller.write(events);
    },
    finish() {
      const isLanguage = call.request.service.kind === "language";
      const isMissingEnd = isLanguage && !hasDone;
      if (incompleteEvent.length > 0 || isMissingEnd) return "cut_off";
      startResponse();
      caller.end(hasDone ? DONE_EVENT : undefined);
      return undefined;
    },
  };
}

/**
 * Buffers a response until it is complete, so that another attempt can replace
 * an incomplete one.
 */
export function createBufferedSink(
  call: Call,
  head: ResponseHead,
): ResponseSink {
  const { caller } = call;
  const parts: Buffer[] = [];
  let bufferedBytes = 0;
  return {
    push(bytes) {
      if (caller.isStarted()) return caller.write(bytes);
      parts.push(Buffer.from(bytes));
      bufferedBytes += bytes.length;
      if (bufferedBytes <= MAX_BUFFERED_BYTES) return undefined;
      caller.start(head);
      return caller.write(Buffer.concat(parts.splice(0)));
    },
    finish() {
      if (caller.isStarted()) caller.end();
      else caller.sendComplete(head, Buffer.concat(parts));
      return undefined;
    },
  };
}

function toBuffer(bytes: Uint8Array): Buffer {
  return Buffer.isBuffer(bytes)
    ? bytes
    : Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

function concatBuffers(first: Buffer, second: Uint8Array): Buffer {
  return Buffer.concat([first, second]);
}
