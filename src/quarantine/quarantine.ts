/**
 * Records which endpoints crashed while they ran a request, by the fingerprint
 * of the request. The fingerprint includes the client account, so that an
 * account can only affect its own requests.
 */

import type { CrashNotice } from "../wire/mod.ts";

const RECORD_TTL_MS = 10 * 60 * 1_000;
/**
 * A broken connection counts before the crash is confirmed: an engine takes
 * seconds to restart and to be checked, during which the caller would retry the
 * request at the next endpoint. Long enough for a restart, and short in case
 * nothing crashed.
 */
const PRELIMINARY_TTL_MS = 30_000;
const MAX_FINGERPRINTS = 1_000;
/** Default number of crashed endpoints from which a request is refused. */
const CRASHES_TO_QUARANTINE = 2;
/**
 * After a quarantine the request is let through once. If it crashes an endpoint
 * again, that is no coincidence, and it is refused for this time.
 */
const REPEATED_QUARANTINE_MS = 10 * 60 * 1_000;
/** From the end of a quarantine, for which a crash counts as a repetition. */
const MEMORY_MS = 10 * 60 * 1_000;

export interface Quarantine {
  /** Records a crash and returns the notice for the other processes. */
  recordCrash(fingerprint: string, endpoint: string): CrashNotice;
  /** Records a broken connection that may turn out to be a crash. */
  recordLikelyCrash(fingerprint: string, endpoint: string): CrashNotice;
  /** Returns true if the notice was new and should be forwarded. */
  applyNotice(notice: CrashNotice): boolean;
  /** The request was answered: after its quarantine, it starts anew. */
  recordSurvival(fingerprint: string): void;
  /** True if it crashed an endpoint again after a quarantine. */
  hasRepeated(fingerprint: string): boolean;
  /** Time until the fingerprint may run again; 0 if it is not quarantined. */
  remainingMs(fingerprint: string): number;
  /** True after a first confirmed crash, before the quarantine starts. */
  isSuspect(fingerprint: string): boolean;
  /** Notices of all records that have not expired, for a new peer. */
  listNotices(): readonly CrashNotice[];
  size(): number;
}

export interface QuarantineOptions {
  readonly wallMs: () => number;
  readonly crashesToQuarantine?: number;
}

interface QuarantinePeriod {
  readonly endMs: number;
  /** True if the request has crashed an endpoint after an earlier one. */
  readonly isRepeated: boolean;
}

interface CrashRecord {
  readonly expiresAtMs: number;
  readonly isPreliminary: boolean;
}

export function createQuarantine(options: QuarantineOptions): Quarantine {
  const { wallMs, crashesToQuarantine = CRASHES_TO_QUARANTINE } = options;
  // By fingerprint, then endpoint. The oldest fingerprint comes first.
  const records = new Map<string, Map<string, CrashRecord>>();
  // Last quarantine by fingerprint. The oldest comes first.
  const quarantines = new Map<string, QuarantinePeriod>();

  function listValidRecords(
    fingerprint: string,
  ): readonly [string, CrashRecord][] {
    const found = records.get(fingerprint);
    if (found === undefined) return [];
    const nowMs = wallMs();
    [...found]
      .filter(([, { expiresAtMs }]) => expiresAtMs <= nowMs)
      .forEach(([endpoint]) => found.delete(endpoint));
    if (found.size === 0) records.delete(fingerprint);
    return [...found];
  }

  function evictIfFull() {
    if (records.size < MAX_FINGERPRINTS) return;
    [...records.keys()].forEach(listValidRecords);
    const oldest = records.keys().next();
    if (records.size >= MAX_FINGERPRINTS && !oldest.done) {
      records.delete(oldest.value);
    }
  }

  function remainingMs(fingerprint: string): number {
    const valid = listValidRecords(fingerprint);
    const expiries = valid.map(([, { expiresAtMs }]) => expiresAtMs);
    expiries.sort((a, b) => b - a);
    const endMs = Math.max(
      quarantines.get(fingerprint)?.endMs ?? -Infinity,
      expiries[crashesToQuarantine - 1] ?? -Infinity,
    );
    return Math.max(0, endMs - wallMs());
  }

  function hasRepeated(fingerprint: string): boolean {
    const isRepeated = quarantines.get(fingerprint)?.isRepeated === true;
    return isRepeated && remainingMs(fingerprint) > 0;
  }

  /** Lasts from the latest crash, as the earlier records expire sooner. */
  function quarantineIfDue(fingerprint: string, isRepetition: boolean) {
    const isRepeated = isRepetition || hasRepeated(fingerprint);
    const count = listValidRecords(fingerprint).length;
    if (!isRepeated && count < crashesToQuarantine) return;
    const lengthMs = isRepeated ? REPEATED_QUARANTINE_MS : PRELIMINARY_TTL_MS;
    const endMs = wallMs() + Math.max(remainingMs(fingerprint), lengthMs);
    quarantines.delete(fingerprint);
    quarantines.set(fingerprint, { endMs, isRepeated });
    const [oldest] = quarantines.keys();
    if (quarantines.size > MAX_FINGERPRINTS) quarantines.delete(oldest!);
  }

  function isRemembered(fingerprint: string): boolean {
    const { endMs = -Infinity } = quarantines.get(fingerprint) ?? {};
    return wallMs() < endMs + MEMORY_MS;
  }

  function applyNotice(notice: CrashNotice): boolean {
    const { fingerprint, endpoint, isPreliminary = false } = notice;
    const nowMs = wallMs();
    // A sender's fast clock must not extend the quarantine.
    const expiresAtMs = Math.min(
      notice.expiresAtMs,
      nowMs + (isPreliminary ? PRELIMINARY_TTL_MS : RECORD_TTL_MS),
    );
    if (!(expiresAtMs > nowMs)) return false;
    const known = new Map(listValidRecords(fingerprint)).get(endpoint);
    const isNew =
      known === undefined || (known.isPreliminary && !isPreliminary);
    if (!isNew) return false;
    const isRepetition =
      isRemembered(fingerprint) && remainingMs(fingerprint) === 0;
    if (!records.has(fingerprint)) {
      evictIfFull();
      records.set(fingerprint, new Map());
    }
    records.get(fingerprint)!.set(endpoint, { expiresAtMs, isPreliminary });
    quarantineIfDue(fingerprint, isRepetition);
    return true;
  }

  function createNotice(
    fingerprint: string,
    endpoint: string,
    { timeToLiveMs }: { readonly timeToLiveMs: number },
  ): CrashNotice {
    const expiresAtMs = wallMs() + timeToLiveMs;
    return { topic: "crash", fingerprint, endpoint, expiresAtMs };
  }

  return {
    applyNotice,
    recordCrash(fingerprint, endpoint) {
      const timeToLiveMs = RECORD_TTL_MS;
      const notice = createNotice(fingerprint, endpoint, { timeToLiveMs });
      records.get(fingerprint)?.delete(endpoint);
      applyNotice(notice);
      return notice;
    },
    recordLikelyCrash(fingerprint, endpoint) {
      const timeToLiveMs = PRELIMINARY_TTL_MS;
      const notice = createNotice(fingerprint, endpoint, { timeToLiveMs });
      const preliminary = { ...notice, isPreliminary: true };
      applyNotice(preliminary);
      return preliminary;
    },
    recordSurvival(fingerprint) {
      if (remainingMs(fingerprint) === 0) quarantines.delete(fingerprint);
    },
    hasRepeated,
    remainingMs,
    isSuspect(fingerprint) {
      const confirmed = listValidRecords(fingerprint).filter(
        ([, { isPreliminary }]) => !isPreliminary,
      );
      return confirmed.length > 0 && confirmed.length < crashesToQuarantine;
    },
    listNotices: () =>
      [...records.keys()].flatMap((fingerprint) =>
        listValidRecords(fingerprint).map(([endpoint, record]) => ({
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
