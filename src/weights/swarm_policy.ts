/**
 * Swarm policy: each chunk is downloaded from the store once and enters each
 * region and data centre once; within a data centre the rarest chunks are
 * fetched first.
 */

import { decideToWait } from "./policy.ts";
import type { Decision, TransferView } from "./policy.ts";

/**
 * Parallel downloads from peers. Few, so that chunks complete one after another
 * and can soon be served to others; more than one, because some senders are
 * busy with other downloads.
 */
const MAX_PEER_REQUESTS = 4;
/** Additional downloads of chunks that are missing in the data centre. */
const EXTRA_REMOTE_REQUESTS = 2;

export function decideInSwarm(view: TransferView): Decision {
  return view.source.kind === "store"
    ? decideStoreFetch(view)
    : decidePeerFetch(view);
}

function decideStoreFetch(view: TransferView): Decision {
  // The fleet downloads from the store in order of the chunks, a few at a time.
  // If all agents started at once, their downloads would share the link of the
  // store and no chunk would be complete and ready to serve until the end.
  const windowChunks = view.storeWindowChunks;
  // After an outage of the store every agent may take over every chunk.
  // Assigned chunks come first, so that the store sends hardly any twice.
  let takeoverIndex = -1;
  let missingCount = 0;
  for (let index = 0; index < view.chunkCount; index += 1) {
    if (view.isHeld(index) || view.countHolders("fleet", index) > 0) continue;
    if (missingCount >= windowChunks) break;
    missingCount += 1;
    if (!view.needsRequest(index)) continue;
    if (view.isAssigned("fleet", index)) return { type: "fetch", index };
    if (takeoverIndex < 0 && view.canFetch("fleet", index))
      takeoverIndex = index;
  }
  return takeoverIndex < 0
    ? decideToWait(view)
    : { type: "fetch", index: takeoverIndex };
}

function decidePeerFetch(view: TransferView): Decision {
  const limit = MAX_PEER_REQUESTS + EXTRA_REMOTE_REQUESTS;
  if (view.peerRequestsInFlight >= limit) return decideToWait(view);
  const isFull = view.peerRequestsInFlight >= MAX_PEER_REQUESTS;
  if (isFull && view.source.distance === "data_centre")
    return decideToWait(view);
  const level =
    view.source.distance === "data_centre"
      ? undefined
      : view.source.distance === "region"
        ? "data_centre"
        : "region";
  if (
    view.source.distance === "other_region" &&
    view.regionLinkFreeAtMs > view.nowMs
  ) {
    return decideToWait(view, view.regionLinkFreeAtMs);
  }
  let best = -1;
  let bestHolders = Infinity;
  let ties = 0;
  for (let index = 0; index < view.chunkCount; index += 1) {
    if (!view.needsRequest(index) || !view.source.has(index)) continue;
    const holders = view.countHolders("data_centre", index);
    if (holders > bestHolders) continue;
    if (level !== undefined && holders > 0) continue;
    if (level === "region" && view.countHolders("region", index) > 0) continue;
    if (view.hasLessUsedHolder(index)) continue;
    if (level !== undefined && !view.canFetch("data_centre", index)) continue;
    if (level === "region" && !view.canFetch("region", index)) continue;
    ties = holders < bestHolders ? 1 : ties + 1;
    bestHolders = holders;
    if (ties === 1 || view.random() * ties < 1) best = index;
  }
  return best < 0 ? decideToWait(view) : { type: "fetch", index: best };
}
