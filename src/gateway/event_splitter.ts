/**
 * Splits the bytes of an event stream at event boundaries, so that a stream
 * that fails in the middle of an event can be resumed at another endpoint.
 */

const EVENT_END = Buffer.from("\n\n");
const ID_FIELD = Buffer.from("id:");
const NEWLINE = 0x0a;

export interface WholeEvents {
  readonly bytes: Buffer;
  /** The last event id in these bytes, if any. */
  readonly lastId: string | undefined;
}

export interface EventSplitter {
  /** Returns the events that are complete with these bytes. */
  push(bytes: Buffer): WholeEvents | undefined;
  /** Bytes of the event that is still incomplete. */
  rest(): Buffer;
}

export function createEventSplitter(): EventSplitter {
  let rest: Buffer = Buffer.alloc(0);
  return {
    push(bytes) {
      const all = rest.length === 0 ? bytes : Buffer.concat([rest, bytes]);
      const at = all.lastIndexOf(EVENT_END);
      if (at < 0) {
        rest = all;
        return undefined;
      }
      const end = at + EVENT_END.length;
      rest = all.subarray(end);
      const whole = all.subarray(0, end);
      return { bytes: whole, lastId: findLastId(whole) };
    },
    rest: () => rest,
  };
}

function findLastId(events: Buffer): string | undefined {
  let at = events.lastIndexOf(ID_FIELD);
  while (at > 0 && events[at - 1] !== NEWLINE) {
    at = events.lastIndexOf(ID_FIELD, at - 1);
  }
  if (at < 0) return undefined;
  const end = events.indexOf(NEWLINE, at);
  return events
    .subarray(at + ID_FIELD.length, end)
    .toString("latin1")
    .trim();
}
