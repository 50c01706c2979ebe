/**
 * Splits a stream of server-sent events after whole events, so that a broken
 * connection never passes on part of an event.
 */

const DONE_MARK = Buffer.from("[DONE]");
const DONE_LINES = ["data: [DONE]", "data:[DONE]"] as const;
const LF = 10;
const MAX_EVENT_BYTES = 1024 * 1024;

export interface SseSplitter {
  /** Returns all events that these bytes complete, as one block. */
  push(bytes: Uint8Array): Buffer;
  /** True once the event that marks the end of the answer was returned. */
  isDone(): boolean;
  /** True if an event exceeds the largest accepted size. */
  hasOverflowed(): boolean;
}

export function createSseSplitter(): SseSplitter {
  let tail: Buffer = Buffer.alloc(0);
  let done = false;

  return {
    isDone: () => done,
    hasOverflowed: () => tail.length > MAX_EVENT_BYTES,
    push(bytes) {
      const all = tail.length === 0 ? toBuffer(bytes) : join(tail, bytes);
      const cut = findLastEventEnd(all);
      tail = all.subarray(cut);
      const whole = all.subarray(0, cut);
      done ||= hasDoneLine(whole);
      return whole;
    },
  };
}

function findLastEventEnd(bytes: Buffer): number {
  const last = bytes.length - 1;
  // An engine mostly sends one whole event at a time.
  if (bytes[last] === LF && bytes[last - 1] === LF) return bytes.length;
  const lf = bytes.lastIndexOf("\n\n");
  const crLf = bytes.lastIndexOf("\n\r\n");
  return Math.max(lf === -1 ? 0 : lf + 2, crLf === -1 ? 0 : crLf + 3);
}

/** Generated text cannot hold this line: JSON escapes its line breaks. */
function hasDoneLine(events: Buffer): boolean {
  if (!events.includes(DONE_MARK)) return false;
  return DONE_LINES.some((line) => {
    const at = events.lastIndexOf(line);
    return at === 0 || (at > 0 && events[at - 1] === LF);
  });
}

function toBuffer(bytes: Uint8Array): Buffer {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength);
}

function join(tail: Buffer, bytes: Uint8Array): Buffer {
  return Buffer.concat([tail, bytes]);
}
