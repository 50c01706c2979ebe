/**
 * Data frames carry every token, so they are encoded and decoded without the
 * general codec, which costs several times as much. Their form is the same CBOR
 * map with numbers of fixed width, so any CBOR decoder reads them.
 */

import type { Frame } from "./frame.ts";

export type DataFrame = Extract<Frame, { type: "data" }>;

const MAP_OF_3 = 0xa3;
const TEXT = 0x60;
const UINT32 = 0x1a;
const BYTES32 = 0x5a;
const MAX_UINT32 = 0xffff_ffff;

const START = Buffer.concat([
  Buffer.from([MAP_OF_3]),
  encodeText("type"),
  encodeText("data"),
  encodeText("streamId"),
  Buffer.from([UINT32]),
]);
const MIDDLE = Buffer.concat([encodeText("bytes"), Buffer.from([BYTES32])]);
const ID_AT = START.length;
const MIDDLE_AT = ID_AT + 4;
const SIZE_AT = MIDDLE_AT + MIDDLE.length;
const BYTES_AT = SIZE_AT + 4;

/** Number of bytes in front of the data. */
export const DATA_OVERHEAD_BYTES = BYTES_AT;

/** True if the stream's number fits the fixed width. */
export function isShortDataFrame(frame: Frame): frame is DataFrame {
  return frame.type === "data" && frame.streamId <= MAX_UINT32;
}

/** Writes the frame's body at `at`, which must have room for it. */
export function writeDataFrame(
  { streamId, bytes }: DataFrame,
  out: Buffer,
  at: number,
) {
  out.set(START, at);
  out.writeUInt32BE(streamId, at + ID_AT);
  out.set(MIDDLE, at + MIDDLE_AT);
  out.writeUInt32BE(bytes.length, at + SIZE_AT);
  out.set(bytes, at + BYTES_AT);
}

/**
 * Reads a body of exactly the form that `writeDataFrame` writes; undefined for
 * all others. The data is a view of `all`.
 */
export function readDataFrame(
  all: Buffer,
  start: number,
  end: number,
): DataFrame | undefined {
  if (end - start < BYTES_AT) return undefined;
  if (!holdsAt(all, START, start)) return undefined;
  if (!holdsAt(all, MIDDLE, start + MIDDLE_AT)) return undefined;
  const sizeBytes = all.readUInt32BE(start + SIZE_AT);
  if (sizeBytes !== end - start - BYTES_AT) return undefined;
  return {
    type: "data",
    streamId: all.readUInt32BE(start + ID_AT),
    bytes: all.subarray(start + BYTES_AT, end),
  };
}

/** Runs for each token; comparing with `Buffer.compare` costs a native call. */
function holdsAt(all: Buffer, part: Buffer, at: number): boolean {
  for (let offset = 0; offset < part.length; offset++) {
    if (all[at + offset] !== part[offset]) return false;
  }
  return true;
}

function encodeText(text: string): Buffer {
  return Buffer.concat([Buffer.from([TEXT + text.length]), Buffer.from(text)]);
}
