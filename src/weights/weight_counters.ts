/** Metrics of weight transfer. */

import type { Counter, Registry } from "../metrics/mod.ts";

export interface WeightCounters {
  /** By `from` (store, data_centre, region, other_region). */
  readonly receivedBytes: Counter;
  /** By `to` (data_centre, region, other_region). */
  readonly sentBytes: Counter;
  readonly corruptChunks: Counter;
  readonly failedRequests: Counter;
  readonly refusedUploads: Counter;
  readonly refusedVersions: Counter;
  readonly malformedNotices: Counter;
  readonly takeovers: Counter;
}

export function createWeightCounters(registry: Registry): WeightCounters {
  return {
    receivedBytes: registry.counter(
      "weights_received_bytes_total",
      "Chunk bytes received by source, before verification",
    ),
    sentBytes: registry.counter(
      "weights_sent_bytes_total",
      "Chunk bytes sent to other agents",
    ),
    corruptChunks: registry.counter(
      "weights_corrupt_total",
      "Chunks and manifests whose digest did not match, by source",
    ),
    failedRequests: registry.counter(
      "weights_failed_requests_total",
      "Chunk requests that failed, by source and reason",
    ),
    refusedUploads: registry.counter(
      "weights_refused_uploads_total",
      "Chunk requests of peers that were refused, by reason",
    ),
    refusedVersions: registry.counter(
      "weights_refused_versions_total",
      "Versions that cannot be transferred, by reason",
    ),
    malformedNotices: registry.counter(
      "weights_malformed_notices_total",
      "Notices of held chunks that were ignored",
    ),
    takeovers: registry.counter(
      "weights_takeovers_total",
      "Chunks fetched in place of an earlier-ranked agent, by level",
    ),
  };
}
