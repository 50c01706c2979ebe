/** Notices mostly go to many peers at once, so their bytes are made once. */

import { encodeFrame } from "./frame.ts";
import type { Frame } from "./frame.ts";

const encoded = new WeakMap<object, Buffer>();

/** The bytes belong to all peers that the notice is sent to. */
export function encodeNotice(frame: Extract<Frame, { type: "notice" }>) {
  const notice = frame.notice as object;
  const known = encoded.get(notice);
  if (known !== undefined) return known;
  const bytes = encodeFrame(frame);
  encoded.set(notice, bytes);
  return bytes;
}
