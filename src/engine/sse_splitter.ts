/**
 * Splits a stream of server-sent events at event boundaries, so that no part of
 * an event is forwarded when the connection breaks.
 */

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
      const completeBytes = findLastEventEnd(combined);
      incompleteEvent = combined.subarray(completeBytes);
      const completeEvents = combined.subarray(0, completeBytes);
      isDoneSeen ||= hasDoneLine(completeEvents);
      return completeEvents;
    },
  };
}

function findLastEventEnd(bytes: Buffer): number {
  const last = bytes.length - 1;
  // Engines mostly send one complete event at a time.
  if (bytes[last] === LF && bytes[last - 1] === LF) return bytes.length;
  const lf = bytes.lastIndexOf("\n\n");
  const crLf = bytes.lastIndexOf("\n\r\n");
  return Math.max(lf === -1 ? 0 : lf + 2, crLf === -1 ? 0 : crLf + 3);
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
