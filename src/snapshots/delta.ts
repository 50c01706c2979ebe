/**
 * Delta encoding of a value against a base: a common prefix, inserted bytes and
 * a common suffix. A single edit gives a small delta; two edits far apart give
 * one that includes all bytes between them.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";

/** Equal blocks are compared natively, the first different one byte by byte. */
const BLOCK_BYTES = 4_096;

export interface Delta {
  readonly keptPrefixBytes: number;
  readonly inserted: Uint8Array;
  readonly keptSuffixBytes: number;
}

export function deriveDelta(base: Buffer, next: Buffer): Delta {
  const limit = Math.min(base.length, next.length);
  const prefix = countEqualStart(
    base.subarray(0, limit),
    next.subarray(0, limit),
  );
  const rest = limit - prefix;
  const suffix = countEqualEnd(
    base.subarray(base.length - rest),
    next.subarray(next.length - rest),
  );
  return {
    keptPrefixBytes: prefix,
    inserted: next.subarray(prefix, next.length - suffix),
    keptSuffixBytes: suffix,
  };
}

/** Fails if prefix and suffix are longer than `base`. */
export function applyDelta(
  base: Buffer,
  delta: Delta,
): Result<Buffer, "bad_delta"> {
  const { keptPrefixBytes, inserted, keptSuffixBytes } = delta;
  if (
    !isCount(keptPrefixBytes) ||
    !isCount(keptSuffixBytes) ||
    keptPrefixBytes + keptSuffixBytes > base.length
  ) {
    return err("bad_delta");
  }
  return ok(
    Buffer.concat([
      base.subarray(0, keptPrefixBytes),
      inserted,
      base.subarray(base.length - keptSuffixBytes),
    ]),
  );
}

/** `a` and `b` have the same length. */
function countEqualStart(a: Buffer, b: Buffer): number {
  let at = 0;
  while (at < a.length && areEqual(a, b, { from: at, to: at + BLOCK_BYTES })) {
    at = Math.min(at + BLOCK_BYTES, a.length);
  }
  while (at < a.length && a[at] === b[at]) at++;
  return at;
}

/** `a` and `b` have the same length. */
function countEqualEnd(a: Buffer, b: Buffer): number {
  let at = a.length;
  while (at > 0) {
    const from = Math.max(0, at - BLOCK_BYTES);
    if (!areEqual(a, b, { from, to: at })) break;
    at = from;
  }
  while (at > 0 && a[at - 1] === b[at - 1]) at--;
  return a.length - at;
}

function areEqual(a: Buffer, b: Buffer, range: { from: number; to: number }) {
  const { from, to } = range;
  return a.subarray(from, to).equals(b.subarray(from, to));
}

function isCount(value: number): boolean {
  return Number.isSafeInteger(value) && value >= 0;
}
