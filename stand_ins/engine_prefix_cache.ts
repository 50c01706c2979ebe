/** Remembers recently used prompt prefixes in limited memory. */

const PREFIX_CHARACTERS = 256;
const MAX_PREFIXES = 64;

export interface PrefixCache {
  /** Records a use; true if the prefix was held. */
  use(prompt: string): boolean;
  clear(): void;
}

export function createPrefixCache(): PrefixCache {
  const held = new Set<string>();
  return {
    use(prompt) {
      const prefix = prompt.slice(0, PREFIX_CHARACTERS);
      const wasHeld = held.delete(prefix);
      held.add(prefix);
      if (held.size > MAX_PREFIXES) {
        [...held].slice(0, 1).forEach((oldest) => held.delete(oldest));
      }
      return wasHeld;
    },
    clear: () => held.clear(),
  };
}
