/**
 * Idempotency keys whose outcome this entry had to report as unknown. While
 * their runner is unreachable they must not be reported as "not run".
 */

const MAX_KEYS = 10_000;

export interface UncertainKeys {
  add(key: string): void;
  has(key: string): boolean;
}

export function createUncertainKeys(): UncertainKeys {
  const keys = new Set<string>();
  return {
    add(key) {
      keys.delete(key);
      keys.add(key);
      if (keys.size > MAX_KEYS) keys.delete(keys.keys().next().value!);
    },
    has: (key) => keys.has(key),
  };
}
