/**
 * Rendezvous hashing: every process that knows the same names ranks them alike
 * for a key, and a name that comes or goes moves no other name.
 */

const { imul } = Math;

/** Returns `names` ordered by descending hash of `key` and name. */
export function rankByHash(
  key: string,
  names: readonly string[],
): readonly string[] {
  // The separator keeps ("a", "bc") apart from ("ab", "c").
  const prefix = `${key}\0`;
  return names
    .map((name) => ({ name, score: hashText(prefix + name) }))
    .sort((a, b) => b.score - a.score || (a.name < b.name ? -1 : 1))
    .map(({ name }) => name);
}

/** A 53-bit hash by two multiplicative 32-bit lanes (cyrb53). */
function hashText(text: string): number {
  let a = 0xdeadbeef | 0;
  let b = 0x41c6ce57 | 0;
  for (let i = 0; i < text.length; i++) {
    const code = text.charCodeAt(i);
    a = imul(a ^ code, 2654435761);
    b = imul(b ^ code, 1597334677);
  }
  a = imul(a ^ (a >>> 16), 2246822507);
  a ^= imul(b ^ (b >>> 13), 3266489909);
  b = imul(b ^ (b >>> 16), 2246822507);
  b ^= imul(a ^ (a >>> 13), 3266489909);
  return 4294967296 * (2097151 & b) + (a >>> 0);
}
