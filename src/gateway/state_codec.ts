/** Compresses changes of the published state for notices between entries. */

import { deflateRawSync, inflateRawSync } from "node:zlib";
import type { DirectoryChange } from "../directory/mod.ts";
import type { DirectoryReplyNotice } from "../wire/mod.ts";

const MAX_STATE_BYTES = 64 * 1024 * 1024;

/** `isWhole` if the changes are the complete state. */
export function encodeState(
  changes: readonly DirectoryChange[],
  isWhole = false,
): Pick<DirectoryReplyNotice, "state" | "isPartial"> {
  const state = deflateRawSync(JSON.stringify(changes));
  return isWhole ? { state } : { state, isPartial: true };
}

/** Undefined if the state cannot be decoded. */
export function decodeState(
  state: Uint8Array,
): readonly DirectoryChange[] | undefined {
  try {
    const text = inflateRawSync(state, { maxOutputLength: MAX_STATE_BYTES });
    return JSON.parse(text.toString()) as readonly DirectoryChange[];
  } catch {
    return undefined;
  }
}
