/**
 * Splits the bytes of an event stream at event boundaries, so that a stream
 * that fails in the middle of an event can be resumed at another endpoint.
 */

import { findCompleteEventsLength } from "../http/mod.ts";

const ID_FIELD = "id:";

export interface CompleteEvents {
  readonly bytes: Buffer;
  /** The ids of these events, in their order. */
  readonly ids: readonly string[];
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
      const end = findCompleteEventsLength(all);
      remainder = all.subarray(end);
      if (end === 0) return undefined;
      const complete = all.subarray(0, end);
      return { bytes: complete, ids: readIds(complete) };
    },
    remainder: () => remainder,
  };
}

function readIds(events: Buffer): readonly string[] {
  return events
    .toString("latin1")
    .split("\n")
    .filter((line) => line.startsWith(ID_FIELD))
    .map((line) => line.slice(ID_FIELD.length).trim());
}
