/**
 * Which entries read the store for the others. All entries order the known ones
 * alike, in turn by data centre, so that the first few are spread over data
 * centres. No election is needed: an entry that knows other members than the
 * rest reads once too often, not once too seldom (see peer_feed.ts).
 */

import { computeSeed, scorePair } from "../hashing/mod.ts";

export interface KnownEntry {
  readonly name: string;
  readonly dataCentre: string;
}

/** Two, in different data centres, so that either may fail. */
const MIN_READERS = 2;
/**
 * A reader answers each of the entries that rely on it about once a second. With
 * three readers to choose from, it answers up to 16 in a large fleet.
 */
const ENTRIES_PER_READER = 8;
const KEY = "store reader";

/** The most preferred first. */
export function orderReaders(
  entries: readonly KnownEntry[],
): readonly KnownEntry[] {
  const scored = entries
    .map((entry) => ({ ...entry, score: computeSeed(`${KEY} ${entry.name}`) }))
    .sort((a, b) => b.score - a.score);
  const counts = new Map<string, number>();
  return scored
    .map((entry) => {
      const turn = counts.get(entry.dataCentre) ?? 0;
      counts.set(entry.dataCentre, turn + 1);
      return { ...entry, turn };
    })
    .sort((a, b) => a.turn - b.turn || b.score - a.score)
    .map(({ name, dataCentre }) => ({ name, dataCentre }));
}

/** Number of entries, the first in the order, that always read. */
export function countReaders(entryCount: number): number {
  return Math.max(MIN_READERS, Math.ceil(entryCount / ENTRIES_PER_READER));
}

/** Spreads the entries over the readers; the most preferred first. */
export function rankForEntry<Reader extends KnownEntry>(
  self: string,
  readers: readonly Reader[],
): readonly Reader[] {
  const seed = computeSeed(self);
  return readers
    .map((reader) => ({
      reader,
      score: scorePair(seed, computeSeed(reader.name)),
    }))
    .sort((a, b) => b.score - a.score)
    .map(({ reader }) => reader);
}

/** The first, and the first of another data centre, or else the second. */
export function pickSpreadPair<Reader extends KnownEntry>(
  readers: readonly Reader[],
): readonly Reader[] {
  const [first, second] = readers;
  const distant = readers.find(
    ({ dataCentre }) => dataCentre !== first?.dataCentre,
  );
  return [first, distant ?? second].filter((reader) => reader !== undefined);
}
