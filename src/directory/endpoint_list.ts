/** The listed endpoints, and the last records of those that were listed before. */

import type { Logger } from "../logging/mod.ts";
import type { AgeClock } from "./age_clock.ts";
import type { EndpointRecord } from "./records.ts";

export interface ListedEndpoint extends EndpointRecord {
  /** On the age clock. */
  readonly firstSeenAtMs: number;
  readonly listedAtMs: number;
}

export interface EndpointList {
  list(): readonly ListedEndpoint[];
  listOf(service: string): readonly ListedEndpoint[];
  get(id: string): ListedEndpoint | undefined;
  /** Last record of an endpoint that is no longer listed. */
  removedRecord(id: string): EndpointRecord | undefined;
  /** Without a record the endpoint is removed, later if it may have expired. */
  apply(id: string, record: EndpointRecord | undefined): void;
  remove(id: string): void;
}

export interface EndpointListOptions {
  readonly clock: AgeClock;
  readonly logger: Logger;
  /** Time for which a removal may still be due to a store outage; 0 for none. */
  readonly expiryWindowMs: () => number;
  /** Called after a removal that `apply` has delayed. */
  readonly onRemovedLate: () => void;
}

/**
 * Longest delay of a removal that may be due to a store outage. Shorter than the
 * time for which a removed endpoint may still be sent requests, 2 s, in case the
 * record did not expire. The delay ends earlier with the time in which records
 * return, as the removal may have been learned of late.
 */
const MAX_EXPIRY_GRACE_MS = 1_500;

export function createEndpointList(options: EndpointListOptions): EndpointList {
  const { clock, logger, expiryWindowMs, onRemovedLate } = options;
  const endpoints = new Map<string, ListedEndpoint>();
  const byService = new Map<string, readonly ListedEndpoint[]>();
  const removedRecords = new Map<string, EndpointRecord>();

  function add(id: string, record: EndpointRecord) {
    const previous = endpoints.get(id);
    const now = clock.nowMs();
    const isSameIncarnation =
      previous?.startedAtMs === record.startedAtMs &&
      previous?.address === record.address;
    if (!isSameIncarnation || previous.isDraining !== record.isDraining) {
      const { service, address, dataCentre, isDraining } = record;
      logger.info(
        { endpoint: id, service, address, dataCentre, isDraining },
        "endpoint listed",
      );
    }
    endpoints.set(id, {
      ...record,
      firstSeenAtMs: isSameIncarnation ? previous.firstSeenAtMs : now,
      listedAtMs: now,
    });
    byService.clear();
  }

  function remove(id: string) {
    const record = endpoints.get(id);
    if (record === undefined) return;
    removedRecords.set(id, record);
    endpoints.delete(id);
    byService.clear();
    logger.info({ endpoint: id }, "endpoint no longer listed");
  }

  function removeAfterGrace(
    id: string,
    previous: ListedEndpoint,
    graceMs: number,
  ) {
    logger.info(
      { endpoint: id, graceMs: Math.round(graceMs) },
      "removal of an endpoint is delayed: its record may have expired in a store outage",
    );
    setTimeout(() => {
      if (endpoints.get(id) !== previous) return;
      remove(id);
      onRemovedLate();
    }, graceMs).unref();
  }

  return {
    list: () => [...endpoints.values()],
    listOf(service) {
      const known = byService.get(service);
      if (known !== undefined) return known;
      const found = [...endpoints.values()].filter(
        (endpoint) => endpoint.service === service,
      );
      byService.set(service, found);
      return found;
    },
    get: (id) => endpoints.get(id),
    removedRecord: (id) => removedRecords.get(id),
    apply(id, record) {
      if (record !== undefined) return add(id, record);
      const previous = endpoints.get(id);
      if (previous === undefined) return;
      const graceMs = Math.min(MAX_EXPIRY_GRACE_MS, expiryWindowMs());
      if (graceMs > 0) return removeAfterGrace(id, previous, graceMs);
      remove(id);
    },
    remove,
  };
}
