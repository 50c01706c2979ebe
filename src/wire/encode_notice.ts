/** Encodes each notice only once, as most are sent to many peers. */

import { encodeFrame } from "./frame.ts";
import type { Frame } from "./frame.ts";

const cache = new WeakMap<object, Buffer>();

/** The returned buffer is shared by all peers and must not be modified. */
export function encodeNotice(frame: Extract<Frame, { type: "notice" }>) {
  const notice = frame.notice as object;
  const cached = cache.get(notice);
  if (cached !== undefined) return cached;
  const bytes = encodeFrame(frame);
  cache.set(notice, bytes);
  return bytes;
}
