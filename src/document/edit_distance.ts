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

/** Edit distance in which swapping two neighbours is one edit. */
function countEdits(a: string, b: string): number {
  let before: readonly number[] = [];
  let row: readonly number[] = Array.from(
    { length: b.length + 1 },
    (_, j) => j,
  );
  for (let i = 1; i <= a.length; i++) {
    const next = [i];
    for (let j = 1; j <= b.length; j++) {
      const replaced = at(row, j - 1) + (a[i - 1] === b[j - 1] ? 0 : 1);
      const isSwap =
        i > 1 && j > 1 && a[i - 1] === b[j - 2] && a[i - 2] === b[j - 1];
      const swapped = isSwap ? at(before, j - 2) + 1 : Infinity;
      next.push(
        Math.min(replaced, swapped, at(row, j) + 1, at(next, j - 1) + 1),
      );
    }
    before = row;
    row = next;
  }
  return at(row, b.length);
}

function at(row: readonly number[], index: number): number {
  return row[index] ?? 0;
}
