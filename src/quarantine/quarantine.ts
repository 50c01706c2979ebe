/**
 * Counts the endpoints that crashed while they ran a request. A fingerprint
 * contains the client account, so an account can only affect itself.
 */

import type { CrashNotice } from "../wire/mod.ts";

const RECORD_LIFETIME_MS = 10 * 60 * 1_000;
/**
 * A broken connection counts before the crash is certain: an engine needs
 * seconds to restart and be judged, in which the caller sends the request to
 * the next one. Long enough for a restart, short if nothing had crashed.
 */
const PRELIMINARY_LIFETIME_MS = 30_000;
const MAX_FINGERPRINTS = 1_000;
/** Endpoints that must have crashed before a request is refused, by default. */
const CRASHES_TO_QUARANTINE = 2;

export interface Quarantine {
  /** Records a crash seen here and returns the notice for the others. */
  record(fingerprint: string, endpoint: string): CrashNotice;
  /** Records a broken connection that may turn out to be a crash. */
  recordPreliminary(fingerprint: string, endpoint: string): CrashNotice;
  /** Returns true if the notice was new and should be passed on. */
  accept(notice: CrashNotice): boolean;
  /** Time until the fingerprint may run again; 0 if it is not quarantined. */
  remainingMs(fingerprint: string): number;
  /** True after a first certain crash, before the quarantine. */
  isSuspect(fingerprint: string): boolean;
  /** All records still in force, for a newly connected peer. */
  notices(): readonly CrashNotice[];
  size(): number;
}

export interface QuarantineOptions {
  readonly wallMs: () => number;
  readonly crashesToQuarantine?: number;
}

interface CrashRecord {
  readonly expiresAtMs: number;
  readonly isPreliminary: boolean;
}

export function createQuarantine(options: QuarantineOptions): Quarantine {
  const { wallMs, crashesToQuarantine = CRASHES_TO_QUARANTINE } = options;
  // Fingerprint, then endpoint. Oldest fingerprint first.
  const records = new Map<string, Map<string, CrashRecord>>();

  function readValid(fingerprint: string): readonly [string, CrashRecord][] {
    const found = records.get(fingerprint);
    if (found === undefined) return [];
    const nowMs = wallMs();
    [...found]
      .filter(([, { expiresAtMs }]) => expiresAtMs <= nowMs)
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
    const { fingerprint, endpoint, isPreliminary = false } = notice;
    const nowMs = wallMs();
    // A sender's fast clock must not extend the quarantine.
    const expiresAtMs = Math.min(
      notice.expiresAtMs,
      nowMs + (isPreliminary ? PRELIMINARY_LIFETIME_MS : RECORD_LIFETIME_MS),
    );
    if (!(expiresAtMs > nowMs)) return false;
    const known = new Map(readValid(fingerprint)).get(endpoint);
    const isNews =
      known === undefined || (known.isPreliminary && !isPreliminary);
    if (!isNews) return false;
    if (!records.has(fingerprint)) {
      makeRoom();
      records.set(fingerprint, new Map());
    }
    records.get(fingerprint)!.set(endpoint, { expiresAtMs, isPreliminary });
    return true;
  }

  function create(
    fingerprint: string,
    endpoint: string,
    { lifetimeMs }: { readonly lifetimeMs: number },
  ): CrashNotice {
    const expiresAtMs = wallMs() + lifetimeMs;
    return { topic: "crash", fingerprint, endpoint, expiresAtMs };
  }

  return {
    accept,
    record(fingerprint, endpoint) {
      const lifetimeMs = RECORD_LIFETIME_MS;
      const notice = create(fingerprint, endpoint, { lifetimeMs });
      records.get(fingerprint)?.delete(endpoint);
      accept(notice);
      return notice;
    },
    recordPreliminary(fingerprint, endpoint) {
      const lifetimeMs = PRELIMINARY_LIFETIME_MS;
      const notice = create(fingerprint, endpoint, { lifetimeMs });
      const preliminary = { ...notice, isPreliminary: true };
      accept(preliminary);
      return preliminary;
    },
    remainingMs(fingerprint) {
      const valid = readValid(fingerprint);
      if (valid.length < crashesToQuarantine) return 0;
      const expiries = valid.map(([, { expiresAtMs }]) => expiresAtMs);
      expiries.sort((a, b) => b - a);
      return expiries[crashesToQuarantine - 1]! - wallMs();
    },
    isSuspect(fingerprint) {
      const certain = readValid(fingerprint).filter(
        ([, { isPreliminary }]) => !isPreliminary,
      );
      return certain.length > 0 && certain.length < crashesToQuarantine;
    },
    notices: () =>
      [...records.keys()].flatMap((fingerprint) =>
        readValid(fingerprint).map(([endpoint, record]) => ({
          topic: "crash" as const,
          fingerprint,
          endpoint,
          expiresAtMs: record.expiresAtMs,
          ...(record.isPreliminary ? { isPreliminary: true } : {}),
        })),
      ),
    size: () => records.size,
  };
}
