/**
 * Rendezvous hashing: every process ranks the same names alike, and adding or
 * removing one name moves only the keys that it held.
 */

import { createHash } from "node:crypto";

/** Names by descending SHA-256 of key and name. */
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
