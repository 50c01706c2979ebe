/**
 * The tasks that fetch chunks: one for each peer and a few for the store. Each
 * repeatedly executes the decision of the policy, until the version is complete
 * or no longer wanted.
 */

import { hasBit } from "./bitmap.ts";
import type { ChunkProgress } from "./chunk_progress.ts";
import { fetchChunk } from "./fetch_chunk.ts";
import { fetchFromPeer } from "./fetch_from_peer.ts";
import type { PeerHolding } from "./peer_holdings.ts";
import type { Decision, Source, TransferView } from "./policy.ts";
import { STORE_NAME } from "./source_outcomes.ts";
import type { TransferState } from "./transfer_state.ts";
import { createTransferView } from "./transfer_view.ts";

/** Time after which a peer that wants another version is checked again. */
const UNUSABLE_DELAY_MS = 1_000;

export async function runStoreTask(
  state: TransferState,
  progress: ChunkProgress,
): Promise<void> {
  const { context, outcomes } = state;
  const source: Source = {
    kind: "store",
    distance: "other_region",
    has: () => true,
    sentCopies: () => 0,
  };
  const view = createTransferView(state, progress, { source });
  while (isUnfinished(state)) {
    const decision = decideNext(state, {
      view,
      readyAtMs: outcomes.readyAtMs(STORE_NAME),
    });
    if (decision.type === "wait") {
      await waitUntil(state, decision.untilMs);
      continue;
    }
    const { index } = decision;
    const { digest } = progress.manifest.chunks[index]!;
    await fetchChunk(state, progress, {
      index,
      name: STORE_NAME,
      from: "store",
      fetch: (limits) => context.store.fetch("chunks", digest, limits),
    });
  }
}

export async function runPeerTask(
  state: TransferState,
  progress: ChunkProgress,
  holding: PeerHolding,
): Promise<void> {
  const { context, outcomes, peers, manifestDigest, version } = state;
  const { peer, host } = holding;
  const source: Source = {
    kind: "peer",
    distance: peers.distanceOf(holding),
    has: (index) => hasBit(holding.bitmap, index),
    sentCopies: () => holding.sentBytes / version.sizeBytes,
  };
  const view = createTransferView(state, progress, { source, holding });
  while (isUnfinished(state) && !peer.isClosed()) {
    if (outcomes.isExcluded(host)) return;
    const decision = decideNext(state, {
      view,
      readyAtMs: peers.isUsable(holding)
        ? outcomes.readyAtMs(host)
        : context.nowMs() + UNUSABLE_DELAY_MS,
    });
    if (decision.type === "wait") {
      await waitUntil(state, decision.untilMs);
      continue;
    }
    const { index } = decision;
    if (source.distance === "other_region") {
      state.regionShare.reserve(progress.manifest.chunks[index]!.sizeBytes);
    }
    state.peerRequestsInFlight += 1;
    await fetchChunk(state, progress, {
      index,
      name: host,
      from: source.distance,
      fetch: (limits) => fetchFromPeer(peer, { manifestDigest, index }, limits),
    });
    state.peerRequestsInFlight -= 1;
  }
}

function isUnfinished(state: TransferState): boolean {
  return !state.isEnded() && !state.isComplete();
}

/**
 * Synchronous, and the caller starts the request synchronously too, so that no
 * other task can choose the same chunk in between.
 */
function decideNext(
  { context }: TransferState,
  options: { readonly view: TransferView; readonly readyAtMs: number },
): Decision {
  const { view, readyAtMs } = options;
  if (readyAtMs > context.nowMs()) return { type: "wait", untilMs: readyAtMs };
  return context.policy(view);
}

function waitUntil({ context }: TransferState, untilMs: number): Promise<void> {
  return context.changes.wait(untilMs - context.nowMs());
}
