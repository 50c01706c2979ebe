/**
 * Rendezvous hashing: every process ranks the same names in the same order,
 * and adding or removing a name moves only the keys assigned to it.
 */

import { createHash } from "node:crypto";

/** Sorts the names by the SHA-256 of key and name, in descending order. */
export function rankByHash(
  key: string,
  names: readonly string[],
): readonly string[] {
  return names
    .map((name) => ({ name, score: hashPair(key, name) }))
    .sort((a, b) => Buffer.compare(b.score, a.score))
    .map(({ name }) => name);
}

function hashPair(key: string, name: string): Buffer {
  return createHash("sha256").update(key).update("\0").update(name).digest();
}
