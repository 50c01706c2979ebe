/** A seeded random number generator (mulberry32), so that runs are repeatable. */

export type Random = () => number;

export function createRandom(seed: number): Random {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let value = Math.imul(state ^ (state >>> 15), 1 | state);
    value = (value + Math.imul(value ^ (value >>> 7), 61 | value)) ^ value;
    return ((value ^ (value >>> 14)) >>> 0) / 4_294_967_296;
  };
}

export function pickOne<T>(random: Random, items: readonly T[]): T {
  return items[Math.floor(random() * items.length)]!;
}
