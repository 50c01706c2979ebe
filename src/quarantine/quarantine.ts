/**
 * Counts the endpoints that crashed while they ran a request. A fingerprint
 * contains the client account, so an account can only affect itself.
 */

import type { CrashNotice } from "../wire/mod.ts";

const RECORD_LIFETIME_MS = 10 * 60 * 1_000;
const MAX_FINGERPRINTS = 1_000;
/** Endpoints that must have crashed before a request is refused. */
const CRASHES_TO_QUARANTINE = 2;

export interface Quarantine {
  /** Records a crash seen here and returns the notice for the others. */
  record(fingerprint: string, endpoint: string): CrashNotice;
  /** Returns true if the notice was new and should be passed on. */
  accept(notice: CrashNotice): boolean;
  /** Time until the fingerprint may run again; 0 if it is not quarantined. */
  remainingMs(fingerprint: string): number;
  /** True after a first crash, before the quarantine. */
  isSuspect(fingerprint: string): boolean;
  /** All records still in force, for a newly connected peer. */
  notices(): readonly CrashNotice[];
  size(): number;
}

export interface QuarantineOptions {
  readonly wallMs: () => number;
}

export function createQuarantine({ wallMs }: QuarantineOptions): Quarantine {
  // Fingerprint, then endpoint and expiry. Oldest fingerprint first.
  const records = new Map<string, Map<string, number>>();

  function readValid(fingerprint: string): readonly [string, number][] {
    const found = records.get(fingerprint);
    if (found === undefined) return [];
    const nowMs = wallMs();
    [...found]
      .filter(([, expiresAtMs]) => expiresAtMs <= nowMs)
      .forEach(([endpoint]) => found.delete(endpoint));
    if (found.size === 0) records.delete(fingerprint);
    return [...found];
  }

  function makeRoom() {
    if (records.size < MAX_FINGERPRINTS) return;
    [...records.keys()].forEach(readValid);
    const oldest = records.keys().next();
    if (records.size >= MAX_FINGERPRINTS && !oldest.done) {
      records.delete(oldest.value);
    }
  }

  function accept(notice: CrashNotice): boolean {
    const { fingerprint, endpoint } = notice;
    const nowMs = wallMs();
    // A sender's fast clock must not extend the quarantine.
    const expiresAtMs = Math.min(
      notice.expiresAtMs,
      nowMs + RECORD_LIFETIME_MS,
    );
    if (!(expiresAtMs > nowMs)) return false;
    const known = new Map(readValid(fingerprint)).get(endpoint);
    if (known !== undefined) return false;
    if (!records.has(fingerprint)) {
      makeRoom();
      records.set(fingerprint, new Map());
    }
    records.get(fingerprint)!.set(endpoint, expiresAtMs);
    return true;
  }

  return {
    accept,
    record(fingerprint, endpoint) {
      const notice: CrashNotice = {
        topic: "crash",
        fingerprint,
        endpoint,
        expiresAtMs: wallMs() + RECORD_LIFETIME_MS,
      };
      records.get(fingerprint)?.delete(endpoint);
      accept(notice);
      return notice;
    },
    remainingMs(fingerprint) {
      const valid = readValid(fingerprint);
      if (valid.length < CRASHES_TO_QUARANTINE) return 0;
      const expiries = valid.map(([, expiresAtMs]) => expiresAtMs);
      expiries.sort((a, b) => b - a);
      return expiries[CRASHES_TO_QUARANTINE - 1]! - wallMs();
    },
    isSuspect(fingerprint) {
      const { length } = readValid(fingerprint);
      return length > 0 && length < CRASHES_TO_QUARANTINE;
    },
    notices: () =>
      [...records.keys()].flatMap((fingerprint) =>
        readValid(fingerprint).map(([endpoint, expiresAtMs]) => ({
          topic: "crash" as const,
          fingerprint,
          endpoint,
          expiresAtMs,
        })),
      ),
    size: () => records.size,
  };
}
