/**
 * Splits a stream of server-sent events at event boundaries, so that no part of
 * an event is forwarded when the connection breaks.
 */

import { findCompleteEventsLength } from "../http/mod.ts";

const DONE_TOKEN = Buffer.from("[DONE]");
const DONE_LINES = ["data: [DONE]", "data:[DONE]"] as const;
const LF = 10;
const MAX_EVENT_BYTES = 1024 * 1024;

export interface SseSplitter {
  /** Returns the events that are complete with these bytes, as one buffer. */
  push(bytes: Uint8Array): Buffer;
  /** True once the `[DONE]` event has been returned. */
  isDone(): boolean;
  /** True if an event exceeds the maximum size. */
  hasOverflowed(): boolean;
}

export function createSseSplitter(): SseSplitter {
  let incompleteEvent: Buffer = Buffer.alloc(0);
  let isDoneSeen = false;

  return {
    isDone: () => isDoneSeen,
    hasOverflowed: () => incompleteEvent.length > MAX_EVENT_BYTES,
    push(bytes) {
      const combined =
        incompleteEvent.length === 0
          ? toBuffer(bytes)
          : concatBuffers(incompleteEvent, bytes);
      const completeBytes = findCompleteEventsLength(combined);
      incompleteEvent = combined.subarray(completeBytes);
      const completeEvents = combined.subarray(0, completeBytes);
      isDoneSeen ||= hasDoneLine(completeEvents);
      return completeEvents;
    },
  };
}

/** Generated text cannot contain such a line: JSON escapes line breaks. */
function hasDoneLine(events: Buffer): boolean {
  if (!events.includes(DONE_TOKEN)) return false;
  return DONE_LINES.some((line) => {
    const at = events.lastIndexOf(line);
    return at === 0 || (at > 0 && events[at - 1] === LF);
  });
}

function toBuffer(bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

function concatBuffers(first: Buffer, second: Uint8Array): Buffer {
  return Buffer.concat([first, second]);
}
