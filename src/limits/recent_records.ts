/** Records by key, of which the least recently used ones are dropped. */

export interface RecentRecords<T> {
  read(key: string): T | undefined;
  write(key: string, record: T): void;
  /** The least recently used first. */
  list(): readonly T[];
}

export function createRecentRecords<T>(maxRecords: number): RecentRecords<T> {
  const records = new Map<string, T>();

  return {
    read(key) {
      const found = records.get(key);
      if (found === undefined) return undefined;
      records.delete(key);
      records.set(key, found);
      return found;
    },
    write(key, record) {
      records.delete(key);
      records.set(key, record);
      if (records.size <= maxRecords) return;
      const [oldest] = records.keys();
      records.delete(oldest!);
    },
    list: () => [...records.values()],
  };
}
