/**
 * The endpoints that this entry weighs for a call: those whose agents are in
 * contact with it, and those that the reserve allows. Their number is bounded,
 * whatever the number of endpoints.
 */

import type { CallService, ListedEndpoint } from "../directory/mod.ts";
import { sample } from "./sample.ts";

/** With more endpoints a random sample is weighed for each call. */
export const MAX_WEIGHED = 64;
/** Part of a sample for the endpoints of this entry's data centre. */
const LOCAL_PART = 0.75;
/** Agents come into contact and are lost without a change of the list. */
const REFRESH_INTERVAL_MS = 500;

export interface CandidatesOptions {
  readonly nowMs: () => number;
  /** In [0, 1). */
  readonly random: () => number;
  readonly dataCentre: string;
  readonly listEndpoints: (service: string) => readonly ListedEndpoint[];
  /** True if the agent of the endpoint has reported lately. */
  readonly isInContact: (endpoint: ListedEndpoint) => boolean;
  /** True if requests may be sent there without contact. */
  readonly isInReserve: (
    endpoint: ListedEndpoint,
    service: CallService,
  ) => boolean;
}

export interface Candidates {
  list(service: CallService): readonly ListedEndpoint[];
}

interface CachedCandidates {
  readonly listed: readonly ListedEndpoint[];
  readonly computedAtMs: number;
  readonly local: readonly ListedEndpoint[];
  readonly others: readonly ListedEndpoint[];
}

export function createCandidates(options: CandidatesOptions): Candidates {
  const { nowMs, random, dataCentre, listEndpoints } = options;
  const caches = new Map<string, CachedCandidates>();

  function select(service: CallService, listed: readonly ListedEndpoint[]) {
    if (service.engine === undefined) return listed;
    const selected = listed.filter(
      (endpoint) =>
        options.isInContact(endpoint) || options.isInReserve(endpoint, service),
    );
    return selected;
  }

  function read(service: CallService): CachedCandidates {
    const listed = listEndpoints(service.name);
    const cached = caches.get(service.name);
    const isFresh =
      cached?.listed === listed &&
      nowMs() - cached.computedAtMs < REFRESH_INTERVAL_MS;
    if (cached !== undefined && isFresh) return cached;
    const selected = select(service, listed);
    const isLocal = (endpoint: ListedEndpoint) =>
      endpoint.dataCentre === dataCentre;
    const computed = {
      listed,
      computedAtMs: nowMs(),
      local: selected.filter(isLocal),
      others: selected.filter((endpoint) => !isLocal(endpoint)),
    };
    caches.set(service.name, computed);
    return computed;
  }

  return {
    list(service) {
      const { local, others } = read(service);
      if (local.length + others.length <= MAX_WEIGHED) {
        return [...local, ...others];
      }
      const localCount = Math.max(
        Math.floor(MAX_WEIGHED * LOCAL_PART),
        MAX_WEIGHED - others.length,
      );
      const sampled = sample(local, localCount, random);
      return [
        ...sampled,
        ...sample(others, MAX_WEIGHED - sampled.length, random),
      ];
    },
  };
}
