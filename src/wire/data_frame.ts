/**
 * Encodes and decodes data frames. Every token is sent in one, and the general
 * CBOR codec costs several times as much. The encoding is the same CBOR map with
 * fixed-width numbers, so any CBOR decoder can read it.
 */

import type { Frame } from "./frame.ts";

export type DataFrame = Extract<Frame, { type: "data" }>;

const CBOR_MAP_OF_3 = 0xa3;
const CBOR_TEXT = 0x60;
const CBOR_UINT32 = 0x1a;
const CBOR_BYTES32 = 0x5a;
const MAX_UINT32 = 0xffff_ffff;

const PREFIX = Buffer.concat([
  Buffer.from([CBOR_MAP_OF_3]),
  encodeText("type"),
  encodeText("data"),
  encodeText("streamId"),
  Buffer.from([CBOR_UINT32]),
]);
const BYTES_KEY = Buffer.concat([
  encodeText("bytes"),
  Buffer.from([CBOR_BYTES32]),
]);
const STREAM_ID_OFFSET = PREFIX.length;
const BYTES_KEY_OFFSET = STREAM_ID_OFFSET + 4;
const SIZE_OFFSET = BYTES_KEY_OFFSET + BYTES_KEY.length;
const BYTES_OFFSET = SIZE_OFFSET + 4;

/** Number of bytes in front of the data. */
export const DATA_OVERHEAD_BYTES = BYTES_OFFSET;

/** True for a data frame whose stream id fits the fixed width. */
export function isFixedWidthDataFrame(frame: Frame): frame is DataFrame {
  return frame.type === "data" && frame.streamId <= MAX_UINT32;
}

/** Writes the frame's body into `out` at `at`; `out` must have room for it. */
export function writeDataFrame(
  { streamId, bytes }: DataFrame,
  out: Buffer,
  at: number,
) {
  out.set(PREFIX, at);
  out.writeUInt32BE(streamId, at + STREAM_ID_OFFSET);
  out.set(BYTES_KEY, at + BYTES_KEY_OFFSET);
  out.writeUInt32BE(bytes.length, at + SIZE_OFFSET);
  out.set(bytes, at + BYTES_OFFSET);
}

/**
 * Reads a body encoded as by `writeDataFrame`; undefined for any other. The
 * data is a view of `buffer`.
 */
export function readDataFrame(
  buffer: Buffer,
  start: number,
  end: number,
): DataFrame | undefined {
  if (end - start < BYTES_OFFSET) return undefined;
  if (!matchesAt(buffer, PREFIX, start)) return undefined;
  if (!matchesAt(buffer, BYTES_KEY, start + BYTES_KEY_OFFSET)) return undefined;
  const sizeBytes = buffer.readUInt32BE(start + SIZE_OFFSET);
  if (sizeBytes !== end - start - BYTES_OFFSET) return undefined;
  return {
    type: "data",
    streamId: buffer.readUInt32BE(start + STREAM_ID_OFFSET),
    bytes: buffer.subarray(start + BYTES_OFFSET, end),
  };
}

/** Called for each token; a loop avoids the native call of `Buffer.compare`. */
function matchesAt(buffer: Buffer, part: Buffer, at: number): boolean {
  for (let offset = 0; offset < part.length; offset++) {
    if (buffer[at + offset] !== part[offset]) return false;
  }
  return true;
}

function encodeText(text: string): Buffer {
  return Buffer.concat([
    Buffer.from([CBOR_TEXT + text.length]),
    Buffer.from(text),
  ]);
}
