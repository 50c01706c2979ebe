/**
 * The keys that this process has claimed, with the responses of the finished
 * ones. A key below the floor that is not in the table may have run before, so
 * it is never run again.
 */

import type { KeyFloor } from "./key_floor.ts";

/**
 * Responses of bookings and unlocks are far smaller, so a table of 10,000 keys
 * stays small.
 */
export const MAX_STORED_RESPONSE_BYTES = 64 * 1024;

/**
 * Limits the memory of the process. Beyond it, the oldest responses are dropped
 * and their outcomes become unknown.
 */
const MAX_ALL_STORED_BYTES = 16 * 1024 * 1024;

export interface StoredResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

export type KeyDecision =
  | { readonly type: "run" }
  | { readonly type: "in_use" }
  | { readonly type: "answered"; readonly response: StoredResponse }
  /** It ran, or may have run, and its response is not known. */
  | { readonly type: "unknown" }
  /** The key was used for another request. */
  | { readonly type: "mismatch" }
  /** Every key of the table is still running. */
  | { readonly type: "full" };

export interface KeyTable {
  /** Undefined if the key has certainly not run on this host. */
  lookUp(
    key: string,
    keyTimeMs: number,
    fingerprint: string,
  ): KeyDecision | undefined;
  /**
   * Claims a new key. After `run`, the caller must call `finish` or `release`.
   */
  claim(key: string, keyTimeMs: number, fingerprint: string): KeyDecision;
  /**
   * Ends a key whose request was sent to the endpoint. Without a response, its
   * outcome stays unknown.
   */
  finish(key: string, response?: StoredResponse): void;
  /** Removes a claimed key whose request was never sent to the endpoint. */
  release(key: string): void;
  size(): number;
}

interface KeyEntry {
  readonly key: string;
  readonly keyTimeMs: number;
  readonly fingerprint: string;
  state: "running" | "finished";
  response: StoredResponse | undefined;
}

export interface KeyTableOptions {
  readonly maxKeys: () => number;
  readonly floor: KeyFloor;
  readonly maxStoredBytes?: number;
}

export function createKeyTable(options: KeyTableOptions): KeyTable {
  const { maxKeys, floor } = options;
  const maxStoredBytes = options.maxStoredBytes ?? MAX_ALL_STORED_BYTES;
  // A map keeps the order of arrival.
  const entries = new Map<string, KeyEntry>();
  let storedBytes = 0;

  function makeRoom(): boolean {
    return entries.size < Math.max(1, maxKeys()) || evictOldestFinished();
  }

  /** Evicts a tenth of the keys at once, so that the scan is rare. */
  function evictOldestFinished(): boolean {
    const finished = [...entries.values()]
      .filter((entry) => entry.state === "finished")
      .sort((a, b) => a.keyTimeMs - b.keyTimeMs);
    const excess = entries.size - Math.max(1, maxKeys()) + 1;
    const count = Math.max(excess, Math.floor(maxKeys() / 10));
    finished.slice(0, count).forEach((entry) => {
      setStoredResponse(entry, undefined);
      entries.delete(entry.key);
      floor.raise(entry.keyTimeMs);
    });
    return finished.length >= excess;
  }

  function setStoredResponse(
    entry: KeyEntry,
    response: StoredResponse | undefined,
  ) {
    storedBytes += getBodyBytes(response) - getBodyBytes(entry.response);
    entry.response = response;
  }

  function dropOldestResponses() {
    if (storedBytes <= maxStoredBytes) return;
    [...entries.values()]
      .filter((entry) => entry.response !== undefined)
      .some((entry) => {
        setStoredResponse(entry, undefined);
        return storedBytes <= maxStoredBytes;
      });
  }

  function lookUp(
    key: string,
    keyTimeMs: number,
    fingerprint: string,
  ): KeyDecision | undefined {
    const found = entries.get(key);
    if (found !== undefined) return decideKnownKey(found, fingerprint);
    return floor.covers(keyTimeMs) ? { type: "unknown" } : undefined;
  }

  return {
    lookUp,
    size: () => entries.size,
    claim(key, keyTimeMs, fingerprint) {
      const known = lookUp(key, keyTimeMs, fingerprint);
      if (known !== undefined) return known;
      if (!makeRoom()) return { type: "full" };
      // Eviction may have raised the floor above this key.
      if (floor.covers(keyTimeMs)) return { type: "unknown" };
      entries.set(key, {
        key,
        keyTimeMs,
        fingerprint,
        state: "running",
        response: undefined,
      });
      return { type: "run" };
    },
    finish(key, response) {
      const entry = entries.get(key);
      if (entry === undefined) return;
      entry.state = "finished";
      if (getBodyBytes(response) <= MAX_STORED_RESPONSE_BYTES) {
        setStoredResponse(entry, response);
        dropOldestResponses();
      }
    },
    release(key) {
      if (entries.get(key)?.state === "running") entries.delete(key);
    },
  };
}

function getBodyBytes(response: StoredResponse | undefined): number {
  return response?.body.length ?? 0;
}

function decideKnownKey(entry: KeyEntry, fingerprint: string): KeyDecision {
  if (entry.fingerprint !== fingerprint) return { type: "mismatch" };
  if (entry.state === "running") return { type: "in_use" };
  if (entry.response === undefined) return { type: "unknown" };
  return { type: "answered", response: entry.response };
}
