/** Suggests corrections of misspelt words by edit distance. */

const MAX_WORD_LENGTH = 64;

/** The candidate closest to `word`, if it is a plausible correction. */
export function suggestWord(
  word: string,
  candidates: readonly string[],
): string | undefined {
  if (word.length > MAX_WORD_LENGTH) return undefined;
  const closest = candidates
    .filter((candidate) => candidate.length <= MAX_WORD_LENGTH)
    .map((candidate) => ({
      candidate,
      distance: computeEditDistance(normalise(word), normalise(candidate)),
    }))
    .sort((a, b) => a.distance - b.distance)[0];
  if (closest === undefined) return undefined;
  const limit = Math.max(1, Math.floor(closest.candidate.length / 3));
  return closest.distance <= limit ? closest.candidate : undefined;
}

function normalise(word: string): string {
  return word.toLowerCase().replaceAll("-", "_");
}

/** Edit distance that counts the swap of two adjacent letters as one edit. */
function computeEditDistance(a: string, b: string): number {
  let previousRow: readonly number[] = [];
  let currentRow: readonly number[] = Array.from(
    { length: b.length + 1 },
    (_, j) => j,
  );
  for (let i = 1; i <= a.length; i++) {
    const nextRow = [i];
    for (let j = 1; j <= b.length; j++) {
      const replaceCost =
        getOrZero(currentRow, j - 1) + (a[i - 1] === b[j - 1] ? 0 : 1);
      const isSwap =
        i > 1 && j > 1 && a[i - 1] === b[j - 2] && a[i - 2] === b[j - 1];
      const swapCost = isSwap ? getOrZero(previousRow, j - 2) + 1 : Infinity;
      nextRow.push(
        Math.min(
          replaceCost,
          swapCost,
          getOrZero(currentRow, j) + 1,
          getOrZero(nextRow, j - 1) + 1,
        ),
      );
    }
    previousRow = currentRow;
    currentRow = nextRow;
  }
  return getOrZero(currentRow, b.length);
}

function getOrZero(row: readonly number[], index: number): number {
  return row[index] ?? 0;
}
