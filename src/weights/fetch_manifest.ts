/**
 * Fetches the manifest of a transfer: from a peer that holds it, otherwise from
 * the weight store, which the relays ask one after the other.
 */

import { rankByHash } from "../hashing/mod.ts";
import { fetchFromPeer, MANIFEST_INDEX } from "./fetch_from_peer.ts";
import type { FetchResult } from "./fetch_result.ts";
import { MAX_MANIFEST_BYTES, parseManifest } from "./manifest.ts";
import { chooseRelays } from "./members.ts";
import type { PeerHolding } from "./peer_holdings.ts";
import { STORE_NAME } from "./source_outcomes.ts";
import type { TransferState } from "./transfer_state.ts";

/** Delay between the first requests of consecutive relays to the store. */
const STORE_STAGGER_MS = 300;
/** Other agents ask the store only if no peer has the manifest by then. */
const NON_RELAY_DELAY_MS = 5_000;
const MANIFEST_SIZE_LIMIT = { sizeBytes: MAX_MANIFEST_BYTES, isExact: false };

/** Returns when the state has a manifest or the transfer has ended. */
export async function fetchManifest(state: TransferState): Promise<void> {
  while (!state.isEnded() && state.progress() === undefined) {
    if (await tryFetch(state)) return;
    await state.context.changes.wait(STORE_STAGGER_MS / 3);
  }
}

async function tryFetch(state: TransferState): Promise<boolean> {
  const { context, outcomes, peers, manifestDigest } = state;
  const now = context.nowMs();
  const holders = context.usesPeers ? listHolders(state, now) : [];
  const chosen = holders[Math.floor(context.random() * holders.length)];
  if (chosen !== undefined) {
    const result = await fetchFromPeer(
      chosen.peer,
      { manifestDigest, index: MANIFEST_INDEX },
      state.createFetchLimits(peers.distanceOf(chosen), MANIFEST_SIZE_LIMIT),
    );
    return acceptManifest(state, chosen.host, result);
  }
  const isTooEarly = now < computeStoreFetchAtMs(state);
  if (isTooEarly || outcomes.readyAtMs(STORE_NAME) > now) return false;
  const limits = state.createFetchLimits("store", MANIFEST_SIZE_LIMIT);
  const result = await context.store.fetch("manifests", manifestDigest, limits);
  return acceptManifest(state, STORE_NAME, result);
}

function listHolders(
  state: TransferState,
  now: number,
): readonly PeerHolding[] {
  const { context, outcomes, manifestDigest } = state;
  return context.holdings
    .list()
    .filter(
      (holding) =>
        holding.manifestDigest === manifestDigest &&
        holding.chunkCount > 0 &&
        !outcomes.isExcluded(holding.host) &&
        outcomes.readyAtMs(holding.host) <= now,
    );
}

function acceptManifest(
  state: TransferState,
  name: string,
  result: FetchResult,
): boolean {
  const { context, outcomes, version, manifestDigest } = state;
  const bytes = outcomes.recordResult(name, result);
  if (bytes === undefined) return false;
  const parsed = parseManifest(bytes, version);
  if (parsed.isOk()) {
    outcomes.recordSuccess(name);
    state.setManifest(parsed.value);
    return true;
  }
  const reason = parsed.error;
  if (reason === "wrong_digest") {
    outcomes.recordCorruption(name);
    return false;
  }
  // The digest matches the document, so every source would send the same bytes.
  context.counters.refusedVersions.increment({ reason });
  context.logger.error({ manifestDigest, reason }, "Manifest rejected");
  state.end();
  return false;
}

function computeStoreFetchAtMs(state: TransferState): number {
  const { context, peers, startedAtMs, manifestDigest } = state;
  if (!context.usesPeers) return startedAtMs;
  const names = chooseRelays(peers.members()).map(({ host }) => host.name);
  const rank = rankByHash(manifestDigest, names).indexOf(context.ownHost);
  const delayMs = rank < 0 ? NON_RELAY_DELAY_MS : rank * STORE_STAGGER_MS;
  return startedAtMs + delayMs;
}
