/** Crashes of endpoints, with the requests that each of them broke off. */

import type { CrashIncident } from "./find_crash_causes.ts";

const INCIDENT_TTL_MS = 10 * 60 * 1_000;
const MAX_INCIDENTS = 64;
const MAX_REQUESTS_PER_INCIDENT = 128;
/**
 * An endpoint does not end twice. What breaks off its requests so much later
 * shows that it has gone on before, as after a reset of some connections.
 */
const SAME_CRASH_MS = 2_000;

/** A request that ended with its endpoint before it had run for long. */
export interface BrokenRequest {
  /** Incarnation of the endpoint, which can crash only once. */
  readonly endpoint: string;
  /** Equal for repeats of the same request. */
  readonly request: string;
  readonly parts: readonly string[];
}

export interface CrashIncidents {
  /** Returns false if the request is already recorded or the crash too old. */
  record(broken: BrokenRequest, atMs: number): boolean;
  /** True if a crash later than `sinceMs` has broken off the part. */
  isSuspect(part: string, sinceMs: number): boolean;
  /** True if the crash of the endpoint broke off one of the parts. */
  hasPart(endpoint: string, parts: readonly string[]): boolean;
  list(): readonly CrashIncident[];
  /** Oldest crash first. */
  listRequests(): readonly (BrokenRequest & { readonly atMs: number })[];
}

interface Incident extends CrashIncident {
  readonly endpoint: string;
  readonly partsByRequest: Map<string, readonly string[]>;
  readonly requestsByPart: Map<string, Set<string>>;
}

export function createCrashIncidents(nowMs: () => number): CrashIncidents {
  // By endpoint, in the order of their recording.
  const incidents = new Map<string, Incident>();

  function removeOld() {
    const oldestMs = nowMs() - INCIDENT_TTL_MS;
    [...incidents.values()]
      .filter(({ atMs }) => atMs < oldestMs)
      .forEach(({ endpoint }) => incidents.delete(endpoint));
    [...incidents.keys()]
      .slice(0, Math.max(0, incidents.size - MAX_INCIDENTS))
      .forEach((endpoint) => incidents.delete(endpoint));
  }

  function findOrCreate(endpoint: string, atMs: number): Incident | undefined {
    const found = incidents.get(endpoint);
    const ageMs = found === undefined ? Infinity : atMs - found.atMs;
    if (Math.abs(ageMs) <= SAME_CRASH_MS) return found;
    if (ageMs < 0 || nowMs() - atMs > INCIDENT_TTL_MS) return undefined;
    incidents.delete(endpoint);
    const created: Incident = {
      endpoint,
      atMs,
      partsByRequest: new Map(),
      requestsByPart: new Map(),
    };
    incidents.set(endpoint, created);
    removeOld();
    return created;
  }

  return {
    record({ endpoint, request, parts }, atMs) {
      const incident = findOrCreate(endpoint, atMs);
      if (incident === undefined) return false;
      const { partsByRequest, requestsByPart } = incident;
      if (partsByRequest.has(request)) return false;
      if (partsByRequest.size >= MAX_REQUESTS_PER_INCIDENT) return false;
      partsByRequest.set(request, parts);
      parts.forEach((part) => {
        const requests = requestsByPart.get(part) ?? new Set();
        requestsByPart.set(part, requests.add(request));
      });
      return true;
    },
    isSuspect: (part, sinceMs) =>
      [...incidents.values()].some(
        ({ atMs, requestsByPart }) =>
          atMs > sinceMs && requestsByPart.has(part),
      ),
    hasPart(endpoint, parts) {
      const found = incidents.get(endpoint);
      return parts.some((part) => found?.requestsByPart.has(part) ?? false);
    },
    list: () => [...incidents.values()],
    listRequests() {
      removeOld();
      return [...incidents.values()].flatMap(
        ({ endpoint, atMs, partsByRequest }) =>
          [...partsByRequest].map(([request, parts]) => ({
            endpoint,
            request,
            parts,
            atMs,
          })),
      );
    },
  };
}
