/** A bounded least-recently-used cache of prompt prefixes. */

const PREFIX_CHARACTERS = 256;
const MAX_PREFIXES = 64;

export interface PrefixCache {
  /** Records a use of the prompt's prefix; true if it was cached. */
  use(prompt: string): boolean;
  clear(): void;
}

export function createPrefixCache(): PrefixCache {
  const prefixes = new Set<string>();
  return {
    use(prompt) {
      const prefix = prompt.slice(0, PREFIX_CHARACTERS);
      const wasCached = prefixes.delete(prefix);
      prefixes.add(prefix);
      if (prefixes.size > MAX_PREFIXES) {
        [...prefixes].slice(0, 1).forEach((oldest) => prefixes.delete(oldest));
      }
      return wasCached;
    },
    clear: () => prefixes.clear(),
  };
}
