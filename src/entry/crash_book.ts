/**
 * Endpoints that crashed while running a request, by the request's
 * fingerprint. A fingerprint that crashed two endpoints is quarantined.
 */

import type { CrashNotice } from "../wire/mod.ts";

const MAX_FINGERPRINTS = 1_000;
const MAX_LIFETIME_MS = 600_000;
const QUARANTINE_ENDPOINTS = 2;

export interface CrashBook {
  /** True if this endpoint was not yet known for the fingerprint. */
  add(notice: CrashNotice): boolean;
  /** All notices that are in force. */
  list(): readonly CrashNotice[];
  /** Remaining time of the quarantine; 0 if there is none. */
  readQuarantineMs(fingerprint: string): number;
}

export function createCrashBook(nowMs: () => number): CrashBook {
  const expiries = new Map<string, Map<string, number>>();

  function readLive(fingerprint: string): Map<string, number> {
    const now = nowMs();
    const found = expiries.get(fingerprint) ?? new Map<string, number>();
    return new Map([...found].filter(([, expiresAtMs]) => expiresAtMs > now));
  }

  return {
    add({ fingerprint, endpoint, expiresAtMs }) {
      const now = nowMs();
      if (!(expiresAtMs > now)) return false;
      const live = readLive(fingerprint);
      if (live.has(endpoint)) return false;
      live.set(endpoint, Math.min(expiresAtMs, now + MAX_LIFETIME_MS));
      expiries.delete(fingerprint);
      expiries.set(fingerprint, live);
      if (expiries.size > MAX_FINGERPRINTS) {
        expiries.delete(expiries.keys().next().value!);
      }
      return true;
    },
    list() {
      return [...expiries.keys()].flatMap((fingerprint) =>
        [...readLive(fingerprint)].map(([endpoint, expiresAtMs]) => ({
          topic: "crash",
          fingerprint,
          endpoint,
          expiresAtMs,
        })),
      );
    },
    readQuarantineMs(fingerprint) {
      if (!expiries.has(fingerprint)) return 0;
      const latest = [...readLive(fingerprint).values()].sort((a, b) => b - a);
      const expiresAtMs = latest[QUARANTINE_ENDPOINTS - 1];
      return expiresAtMs === undefined ? 0 : expiresAtMs - nowMs();
    },
  };
}
