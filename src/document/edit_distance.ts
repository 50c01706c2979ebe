/** Suggestions for misspelt words, by edit distance. */

const MAX_WORD_LENGTH = 64;

/** The candidate closest to `word`, if it is close enough to be meant. */
export function suggestWord(
  word: string,
  candidates: readonly string[],
): string | undefined {
  if (word.length > MAX_WORD_LENGTH) return undefined;
  const closest = candidates
    .filter((candidate) => candidate.length <= MAX_WORD_LENGTH)
    .map((candidate) => ({
      candidate,
      distance: countEdits(normalise(word), normalise(candidate)),
    }))
    .sort((a, b) => a.distance - b.distance)[0];
  if (closest === undefined) return undefined;
  const limit = Math.max(1, Math.floor(closest.candidate.length / 3));
  return closest.distance <= limit ? closest.candidate : undefined;
}

function normalise(word: string): string {
  return word.toLowerCase().replaceAll("-", "_");
}

/** Levenshtein distance. */
function countEdits(a: string, b: string): number {
  let row = Array.from({ length: b.length + 1 }, (_, index) => index);
  for (let i = 1; i <= a.length; i++) {
    const next = [i];
    for (let j = 1; j <= b.length; j++) {
      const replaced = (row[j - 1] ?? 0) + (a[i - 1] === b[j - 1] ? 0 : 1);
      next.push(Math.min(replaced, (row[j] ?? 0) + 1, (next[j - 1] ?? 0) + 1));
    }
    row = next;
  }
  return row[b.length] ?? 0;
}
