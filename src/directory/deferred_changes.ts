/** Changes of the store that are applied later, unless others replace them. */

import type { DirectoryChange } from "./records.ts";

export interface DeferredChanges {
  get(key: string): DirectoryChange | undefined;
  list(): readonly DirectoryChange[];
  defer(key: string, change: DirectoryChange, delayMs: number): void;
  /** The change will not be applied. */
  drop(key: string): void;
  dropAll(): void;
}

export interface DeferredChangesOptions {
  readonly schedule: (handle: () => void, delayMs: number) => void;
  readonly onDue: (key: string, change: DirectoryChange) => void;
}

export function createDeferredChanges({
  schedule,
  onDue,
}: DeferredChangesOptions): DeferredChanges {
  const changes = new Map<string, DirectoryChange>();
  return {
    get: (key) => changes.get(key),
    list: () => [...changes.values()],
    defer(key, change, delayMs) {
      changes.set(key, change);
      schedule(() => {
        if (changes.get(key) !== change) return;
        changes.delete(key);
        onDue(key, change);
      }, delayMs);
    },
    drop: (key) => void changes.delete(key),
    dropAll: () => changes.clear(),
  };
}
