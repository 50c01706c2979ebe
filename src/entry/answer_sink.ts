/** Where the data of an agent's answer goes: events at once, others whole. */

import type { ResponseHead } from "../wire/mod.ts";
import type { Call } from "./call.ts";
import type { EntryMetrics } from "./entry_metrics.ts";
import {
  DONE_EVENT,
  findDone,
  findWholeEvents,
  rewriteEvents,
} from "./event_stream.ts";
import type { Progress } from "./event_stream.ts";

/** Larger answers are passed on before they are complete. */
const MAX_WHOLE_BYTES = 1024 * 1024;
const MAX_EVENT_BYTES = 1024 * 1024;
const NOTHING = Buffer.alloc(0);

export type SinkError = "event_too_large";

export interface AnswerSink {
  /** A promise if the caller must read before more can be taken. */
  push(bytes: Uint8Array): Promise<void> | SinkError | undefined;
  /** The agent's answer is complete. */
  finish(): void;
}

export interface SinkOptions {
  readonly metrics: EntryMetrics;
  /** Set if the caller already has a part of the answer. */
  readonly progress?: Progress | undefined;
}

export function isEventStream({ headers }: ResponseHead): boolean {
  const name = Object.keys(headers).find(
    (key) => key.toLowerCase() === "content-type",
  );
  return name !== undefined && headers[name]!.startsWith("text/event-stream");
}

/**
 * Forwards whole events only. The final `[DONE]` waits for the agent's end
 * mark, so that a caller that has it has the whole answer.
 */
export function createEventSink(
  call: Call,
  head: ResponseHead,
  options: SinkOptions,
): AnswerSink {
  const { caller, kept } = call;
  const { metrics, progress } = options;
  let tail: Buffer = NOTHING;
  let hasDone = false;

  function start() {
    if (!caller.isStarted()) caller.start(head);
  }

  return {
    push(bytes) {
      const all = tail.length === 0 ? toBuffer(bytes) : join(tail, bytes);
      const wholeBytes = findWholeEvents(all);
      tail =
        wholeBytes === all.length
          ? NOTHING
          : Buffer.from(all.subarray(wholeBytes));
      if (tail.length > MAX_EVENT_BYTES) return "event_too_large";
      let events = all.subarray(0, wholeBytes);
      const doneBytes = findDone(events);
      if (doneBytes > 0) {
        hasDone = true;
        events = events.subarray(0, events.length - doneBytes);
      }
      if (progress !== undefined) events = rewriteEvents(events, progress);
      if (events.length === 0) return undefined;
      const isFirst = !caller.isStarted();
      start();
      (isFirst ? metrics.firstToken : metrics.betweenTokens).record(
        call.takeLapMs(),
      );
      if (call.request.service.kind === "language") kept.append(events);
      return caller.write(events);
    },
    finish() {
      start();
      caller.end(hasDone ? DONE_EVENT : undefined);
    },
  };
}

/**
 * Holds an answer until it is complete, so that a broken one can be replaced.
 */
export function createWholeSink(call: Call, head: ResponseHead): AnswerSink {
  const { caller } = call;
  const parts: Buffer[] = [];
  let heldBytes = 0;
  return {
    push(bytes) {
      if (caller.isStarted()) return caller.write(bytes);
      parts.push(Buffer.from(bytes));
      heldBytes += bytes.length;
      if (heldBytes <= MAX_WHOLE_BYTES) return undefined;
      caller.start(head);
      return caller.write(Buffer.concat(parts.splice(0)));
    },
    finish() {
      if (caller.isStarted()) caller.end();
      else caller.sendWhole(head, Buffer.concat(parts));
    },
  };
}

function toBuffer(bytes: Uint8Array): Buffer {
  return Buffer.isBuffer(bytes)
    ? bytes
    : Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

function join(first: Buffer, second: Uint8Array): Buffer {
  return Buffer.concat([first, second]);
}
