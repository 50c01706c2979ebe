/**
 * The keys that this process has taken, with the answers of those that
 * finished. A key below the floor that is not here may have run before, so it
 * is never run again.
 */

import type { KeyFloor } from "./key_floor.ts";

/** Bookings and unlocks answer with far less; a table of 10,000 stays small. */
export const MAX_STORED_ANSWER_BYTES = 64 * 1024;

/** Keeps the process within its memory; older answers become unknown. */
const MAX_STORED_BYTES = 16 * 1024 * 1024;

export interface StoredAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

export type KeyDecision =
  | { readonly type: "run" }
  | { readonly type: "in_use" }
  | { readonly type: "answered"; readonly answer: StoredAnswer }
  /** It ran, or may have run, and its answer is not known. */
  | { readonly type: "unknown" }
  /** The key belongs to another request. */
  | { readonly type: "mismatch" }
  /** Every entry of the table is running. */
  | { readonly type: "full" };

export interface KeyTable {
  /** What is known of the key; undefined if it has certainly not run here. */
  look(
    key: string,
    keyTimeMs: number,
    fingerprint: string,
  ): KeyDecision | undefined;
  /** Takes the key if it has not been taken; `run` obliges to end it. */
  take(key: string, keyTimeMs: number, fingerprint: string): KeyDecision;
  /** Ends a key that was handed off; without an answer it stays unknown. */
  finish(key: string, answer?: StoredAnswer): void;
  /** Forgets a key that was taken but never handed off. */
  release(key: string): void;
  size(): number;
}

interface Entry {
  readonly key: string;
  readonly keyTimeMs: number;
  readonly fingerprint: string;
  state: "running" | "finished";
  answer: StoredAnswer | undefined;
}

export interface KeyTableOptions {
  readonly maxKeys: () => number;
  readonly floor: KeyFloor;
  readonly maxStoredBytes?: number;
}

export function createKeyTable(options: KeyTableOptions): KeyTable {
  const { maxKeys, floor } = options;
  const maxStoredBytes = options.maxStoredBytes ?? MAX_STORED_BYTES;
  // In order of arrival.
  const entries = new Map<string, Entry>();
  let storedBytes = 0;

  function hasRoom(): boolean {
    return entries.size < Math.max(1, maxKeys()) || evictOldest();
  }

  /** Evicts a tenth at once, so that the scan is rare. */
  function evictOldest(): boolean {
    const finished = [...entries.values()]
      .filter((entry) => entry.state === "finished")
      .sort((a, b) => a.keyTimeMs - b.keyTimeMs);
    const excess = entries.size - Math.max(1, maxKeys()) + 1;
    const count = Math.max(excess, Math.floor(maxKeys() / 10));
    finished.slice(0, count).forEach((entry) => {
      storeAnswer(entry, undefined);
      entries.delete(entry.key);
      floor.raise(entry.keyTimeMs);
    });
    return finished.length >= excess;
  }

  function storeAnswer(entry: Entry, answer: StoredAnswer | undefined) {
    storedBytes += measure(answer) - measure(entry.answer);
    entry.answer = answer;
  }

  function dropOldestAnswers() {
    if (storedBytes <= maxStoredBytes) return;
    [...entries.values()]
      .filter((entry) => entry.answer !== undefined)
      .some((entry) => {
        storeAnswer(entry, undefined);
        return storedBytes <= maxStoredBytes;
      });
  }

  function look(
    key: string,
    keyTimeMs: number,
    fingerprint: string,
  ): KeyDecision | undefined {
    const found = entries.get(key);
    if (found !== undefined) return decideRepeated(found, fingerprint);
    return floor.covers(keyTimeMs) ? { type: "unknown" } : undefined;
  }

  return {
    look,
    size: () => entries.size,
    take(key, keyTimeMs, fingerprint) {
      const known = look(key, keyTimeMs, fingerprint);
      if (known !== undefined) return known;
      if (!hasRoom()) return { type: "full" };
      // Eviction may have raised the floor above this key.
      if (floor.covers(keyTimeMs)) return { type: "unknown" };
      entries.set(key, {
        key,
        keyTimeMs,
        fingerprint,
        state: "running",
        answer: undefined,
      });
      return { type: "run" };
    },
    finish(key, answer) {
      const entry = entries.get(key);
      if (entry === undefined) return;
      entry.state = "finished";
      if (measure(answer) <= MAX_STORED_ANSWER_BYTES) {
        storeAnswer(entry, answer);
        dropOldestAnswers();
      }
    },
    release(key) {
      if (entries.get(key)?.state === "running") entries.delete(key);
    },
  };
}

function measure(answer: StoredAnswer | undefined): number {
  return answer?.body.length ?? 0;
}

function decideRepeated(entry: Entry, fingerprint: string): KeyDecision {
  if (entry.fingerprint !== fingerprint) return { type: "mismatch" };
  if (entry.state === "running") return { type: "in_use" };
  if (entry.answer === undefined) return { type: "unknown" };
  return { type: "answered", answer: entry.answer };
}
