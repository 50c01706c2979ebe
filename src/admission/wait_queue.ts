/** A queue ordered by priority, and by arrival within one priority. */

export interface WaitQueue<T> {
  push(item: T, priority: number): void;
  shift(): T | undefined;
  /** Removes and returns the newest item of the lowest priority. */
  popLowest(): T | undefined;
  remove(item: T): boolean;
  /** Number of queued items that run before a new one of this priority. */
  countAhead(priority: number): number;
  /** The queued items that a new one of this priority overtakes. */
  listBehind(priority: number): readonly T[];
  takeAll(): readonly T[];
  size(): number;
}

export function createWaitQueue<T>(): WaitQueue<T> {
  // Highest priority first. The document limits the length to a few dozen.
  const items: { readonly item: T; readonly priority: number }[] = [];

  function countAhead(priority: number): number {
    const index = items.findIndex((other) => other.priority < priority);
    return index === -1 ? items.length : index;
  }

  return {
    countAhead,
    push(item, priority) {
      items.splice(countAhead(priority), 0, { item, priority });
    },
    shift: () => items.shift()?.item,
    popLowest: () => items.pop()?.item,
    remove(item) {
      const index = items.findIndex((other) => other.item === item);
      if (index !== -1) items.splice(index, 1);
      return index !== -1;
    },
    listBehind: (priority) =>
      items.slice(countAhead(priority)).map(({ item }) => item),
    takeAll: () => items.splice(0).map(({ item }) => item),
    size: () => items.length,
  };
}
