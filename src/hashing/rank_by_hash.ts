/**
 * Rendezvous hashing: every process that knows the same names ranks them in
 * the same order for a key, and a change of one name moves no other.
 */

import { createHash } from "node:crypto";

/** The names by SHA-256 of key and name, highest first. */
export function rankByHash(
  key: string,
  names: readonly string[],
): readonly string[] {
  return names
    .map((name) => ({ name, hash: hashPair(key, name) }))
    .sort((a, b) => Buffer.compare(b.hash, a.hash))
    .map(({ name }) => name);
}

function hashPair(key: string, name: string): Buffer {
  // The length keeps ("a", "bc") apart from ("ab", "c").
  return createHash("sha256").update(`${key.length}:${key}${name}`).digest();
}
