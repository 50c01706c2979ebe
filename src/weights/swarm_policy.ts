/**
 * The swarm: each chunk leaves the store once, crosses into each region and
 * data centre once, and spreads inside a data centre rarest first.
 */

import { wait } from "./policy.ts";
import type { Decision, TransferView } from "./policy.ts";

/**
 * Parallel downloads from peers. Few, so that chunks complete one after the
 * other and can be passed on early; more than one, because the senders of
 * some are busy with others.
 */
const MAX_PEER_REQUESTS = 4;
/** Chunks that this data centre lacks may exceed the limit by this many. */
const EXTRA_REQUESTS = 2;

export function decideInSwarm(view: TransferView): Decision {
  return view.source.kind === "store" ? decideStore(view) : decidePeer(view);
}

function decideStore(view: TransferView): Decision {
  // Chunks leave the store in order, a few at a time over the whole fleet.
  // Were each agent to start its own at once, all of them would share the
  // store's link and none would be complete, and passed on, before the end.
  const windowChunks = view.storeWindowChunks;
  // After an outage of the store every agent may take over every chunk; with
  // the assigned ones first, hardly any leaves the store twice.
  let takenOver = -1;
  let missing = 0;
  for (let index = 0; index < view.chunkCount; index += 1) {
    if (view.isHeld(index) || view.holders("fleet", index) > 0) continue;
    if (missing >= windowChunks) break;
    missing += 1;
    if (!view.isWanted(index)) continue;
    if (view.isAssigned("fleet", index)) return { type: "fetch", index };
    if (takenOver < 0 && view.mayFetch("fleet", index)) takenOver = index;
  }
  return takenOver < 0 ? wait(view) : { type: "fetch", index: takenOver };
}

function decidePeer(view: TransferView): Decision {
  const limit = MAX_PEER_REQUESTS + EXTRA_REQUESTS;
  if (view.peerRequests >= limit) return wait(view);
  const isFull = view.peerRequests >= MAX_PEER_REQUESTS;
  if (isFull && view.source.distance === "data_centre") return wait(view);
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
    return wait(view, view.regionLinkFreeAtMs);
  }
  let best = -1;
  let bestHolders = Infinity;
  let ties = 0;
  for (let index = 0; index < view.chunkCount; index += 1) {
    if (!view.isWanted(index) || !view.source.has(index)) continue;
    const holders = view.holders("data_centre", index);
    if (holders > bestHolders) continue;
    if (level !== undefined && holders > 0) continue;
    if (level === "region" && view.holders("region", index) > 0) continue;
    if (view.hasBetterHolder(index)) continue;
    if (level !== undefined && !view.mayFetch("data_centre", index)) continue;
    if (level === "region" && !view.mayFetch("region", index)) continue;
    ties = holders < bestHolders ? 1 : ties + 1;
    bestHolders = holders;
    if (ties === 1 || view.random() * ties < 1) best = index;
  }
  return best < 0 ? wait(view) : { type: "fetch", index: best };
}
