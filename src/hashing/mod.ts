/** Rendezvous hashing: every process ranks the same names alike. */

import { createHash } from "node:crypto";

/** Sorts names by SHA-256 of key and name, highest first. */
export function rankByHash(
  key: string,
  names: readonly string[],
): readonly string[] {
  return names
    .map((name) => ({ name, score: hash(key, name) }))
    .sort((a, b) => Buffer.compare(b.score, a.score))
    .map(({ name }) => name);
}

function hash(key: string, name: string): Buffer {
  return createHash("sha256").update(`${key}\0${name}`).digest();
}
