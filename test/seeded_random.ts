/** Random numbers that a seed determines, for tests whose runs are repeated. */

export interface Range {
  readonly min: number;
  readonly max: number;
}

/** Numbers in [0, 1) from a linear congruential generator. */
export function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
}

export function drawFrom(random: () => number, { min, max }: Range): number {
  return min + random() * (max - min);
}
