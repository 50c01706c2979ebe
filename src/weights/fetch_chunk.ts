/** Fetches one chunk from one source, verifies it and caches it. */

import type { ChunkProgress } from "./chunk_progress.ts";
import { computeDigest } from "./digest.ts";
import type { FetchLimits, FetchResult } from "./fetch_result.ts";
import type { Source } from "./policy.ts";
import type { TransferState } from "./transfer_state.ts";

/** Memory is freed when requests end or another version is abandoned. */
const CACHE_FULL_DELAY_MS = 1_000;

export interface ChunkSource {
  /** Host name of a peer, or `STORE_NAME`. */
  readonly name: string;
  readonly from: "store" | Source["distance"];
  readonly fetch: (limits: FetchLimits) => Promise<FetchResult>;
}

export async function fetchChunk(
  state: TransferState,
  progress: ChunkProgress,
  options: ChunkSource & { readonly index: number },
): Promise<void> {
  const { context, outcomes, peers } = state;
  const { cache, changes, counters } = context;
  const { name, from, fetch, index } = options;
  const { digest, sizeBytes } = progress.manifest.chunks[index]!;
  if (!cache.reserve(sizeBytes, progress.includes)) {
    outcomes.defer(name, CACHE_FULL_DELAY_MS);
    counters.failedRequests.increment({ source: "cache", reason: "memory" });
    return;
  }
  progress.setNeedsRequest(digest, false);
  const limits = state.createFetchLimits(from, { sizeBytes, isExact: true });
  const bytes = outcomes.recordResult(name, await fetch(limits));
  if (bytes === undefined || computeDigest(bytes) !== digest) {
    cache.release(sizeBytes);
    progress.setNeedsRequest(digest, true);
    if (bytes !== undefined) outcomes.recordCorruption(name);
    changes.notify();
    return;
  }
  outcomes.recordSuccess(name);
  cache.put(digest, bytes);
  progress.markHeld(digest);
  peers.onHoldingsChanged();
  context.onChunk();
  changes.notify();
  if (progress.isComplete()) context.onComplete();
}
