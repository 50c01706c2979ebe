/** A random selection without repetition (partial Fisher-Yates shuffle). */

export function sample<T>(
  items: readonly T[],
  count: number,
  random: () => number,
): readonly T[] {
  if (items.length <= count) return items;
  const shuffled = [...items];
  return Array.from({ length: count }, (_, index) => {
    const other = index + Math.floor(random() * (shuffled.length - index));
    const item = shuffled[other]!;
    shuffled[other] = shuffled[index]!;
    shuffled[index] = item;
    return item;
  });
}
