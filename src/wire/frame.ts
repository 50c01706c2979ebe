/**
 * Frames on a peer connection: a 4-byte big-endian length and one CBOR value.
 */

import { Encoder } from "cbor-x";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import {
  DATA_OVERHEAD_BYTES,
  isFixedWidthDataFrame,
  readDataFrame,
  writeDataFrame,
} from "./data_frame.ts";

export const MAX_FRAME_BYTES = 256 * 1024;
const LENGTH_BYTES = 4;
const EMPTY = Buffer.alloc(0);

export type Frame =
  | { readonly type: "hello"; readonly hello: unknown }
  | { readonly type: "open"; readonly streamId: number; readonly head: unknown }
  | {
      readonly type: "message";
      readonly streamId: number;
      readonly body: unknown;
    }
  | {
      readonly type: "data";
      readonly streamId: number;
      readonly bytes: Uint8Array;
    }
  | {
      readonly type: "end";
      readonly streamId: number;
      readonly trailer: unknown;
    }
  | {
      readonly type: "reset";
      readonly streamId: number;
      readonly reason: string;
    }
  | {
      readonly type: "credit";
      readonly streamId: number;
      readonly bytes: number;
    }
  | { readonly type: "notice"; readonly notice: unknown }
  | { readonly type: "ping"; readonly nonce: number }
  | {
      readonly type: "pong";
      readonly nonce: number;
      /** Wall-clock time of the sender. */
      readonly wallMs?: number;
    };

export type FrameError = "frame_too_large" | "malformed_frame";

const codec = new Encoder({ useRecords: false, tagUint8Array: false });

const STREAM_FRAMES: ReadonlySet<string> = new Set([
  "open",
  "message",
  "data",
  "end",
  "reset",
  "credit",
]);
const OTHER_FRAMES: ReadonlySet<string> = new Set([
  "hello",
  "notice",
  "ping",
  "pong",
]);

export function encodeFrame(frame: Frame): Buffer {
  if (isFixedWidthDataFrame(frame)) {
    const length = DATA_OVERHEAD_BYTES + frame.bytes.length;
    const out = Buffer.allocUnsafe(LENGTH_BYTES + length);
    out.writeUInt32BE(length, 0);
    writeDataFrame(frame, out, LENGTH_BYTES);
    return out;
  }
  const body = codec.encode(frame);
  const out = Buffer.allocUnsafe(LENGTH_BYTES + body.length);
  out.writeUInt32BE(body.length, 0);
  body.copy(out, LENGTH_BYTES);
  return out;
}

export interface FrameDecoder {
  /** Returns the frames that these bytes complete, or the first error. */
  push(bytes: Buffer): Result<readonly Frame[], FrameError>;
}

/** Buffers at most one incomplete frame: up to MAX_FRAME_BYTES + 4 bytes. */
export function createFrameDecoder(): FrameDecoder {
  let pending: Buffer = EMPTY;

  return {
    push(bytes) {
      const buffer =
        pending.length === 0 ? bytes : Buffer.concat([pending, bytes]);
      const frames: Frame[] = [];
      let offset = 0;
      while (buffer.length - offset >= LENGTH_BYTES) {
        const length = buffer.readUInt32BE(offset);
        if (length > MAX_FRAME_BYTES) return err("frame_too_large");
        const start = offset + LENGTH_BYTES;
        if (buffer.length - start < length) break;
        const frame = decodeBody(buffer, start, start + length);
        if (frame === undefined) return err("malformed_frame");
        frames.push(frame);
        offset = start + length;
      }
      pending = offset === buffer.length ? EMPTY : buffer.subarray(offset);
      return ok(frames);
    },
  };
}

function decodeBody(
  buffer: Buffer,
  start: number,
  end: number,
): Frame | undefined {
  const data = readDataFrame(buffer, start, end);
  if (data !== undefined) return data;
  try {
    const value: unknown = codec.decode(buffer.subarray(start, end));
    return isFrame(value) ? value : undefined;
  } catch {
    return undefined;
  }
}

function isFrame(value: unknown): value is Frame {
  if (typeof value !== "object" || value === null) return false;
  const { type, streamId, bytes } = value as Record<string, unknown>;
  if (typeof type !== "string") return false;
  if (type === "data" && !(bytes instanceof Uint8Array)) return false;
  if (type === "credit" && !isCount(bytes)) return false;
  return (
    OTHER_FRAMES.has(type) || (STREAM_FRAMES.has(type) && isCount(streamId))
  );
}

function isCount(value: unknown): boolean {
  return Number.isSafeInteger(value) && (value as number) >= 0;
}
