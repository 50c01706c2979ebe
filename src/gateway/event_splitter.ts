/**
 * Splits the bytes of an event stream at event boundaries, so that a stream
 * that fails in the middle of an event can be resumed at another endpoint.
 */

const EVENT_END = Buffer.from("\n\n");
const ID_FIELD = Buffer.from("id:");
const NEWLINE = 0x0a;

export interface CompleteEvents {
  readonly bytes: Buffer;
  /** The last event id in these bytes, if any. */
  readonly lastId: string | undefined;
}

export interface EventSplitter {
  /** Returns the events that are complete with these bytes. */
  push(bytes: Buffer): CompleteEvents | undefined;
  /** Bytes of the event that is still incomplete. */
  remainder(): Buffer;
}

export function createEventSplitter(): EventSplitter {
  let remainder: Buffer = Buffer.alloc(0);
  return {
    push(bytes) {
      const all =
        remainder.length === 0 ? bytes : Buffer.concat([remainder, bytes]);
      const lastEventEnd = all.lastIndexOf(EVENT_END);
      if (lastEventEnd < 0) {
        remainder = all;
        return undefined;
      }
      const end = lastEventEnd + EVENT_END.length;
      remainder = all.subarray(end);
      const complete = all.subarray(0, end);
      return { bytes: complete, lastId: findLastId(complete) };
    },
    remainder: () => remainder,
  };
}

function findLastId(events: Buffer): string | undefined {
  let idStart = events.lastIndexOf(ID_FIELD);
  while (idStart > 0 && events[idStart - 1] !== NEWLINE) {
    idStart = events.lastIndexOf(ID_FIELD, idStart - 1);
  }
  if (idStart < 0) return undefined;
  const end = events.indexOf(NEWLINE, idStart);
  return events
    .subarray(idStart + ID_FIELD.length, end)
    .toString("latin1")
    .trim();
}
