/**
 * Cuts the bytes of an event stream into whole events, so that a stream that
 * breaks off in the middle of an event can be continued by another endpoint.
 */

const EVENT_END = Buffer.from("\n\n");
const ID_FIELD = Buffer.from("id:");
const NEWLINE = 0x0a;

export interface WholeEvents {
  readonly bytes: Buffer;
  /** Id of the last event, if it has one. */
  readonly lastId: string | undefined;
}

export interface EventSplitter {
  /** The whole events that these bytes complete. */
  push(bytes: Buffer): WholeEvents | undefined;
  /** Bytes of an event that is not whole yet. */
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
