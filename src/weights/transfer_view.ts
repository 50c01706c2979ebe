/** The policy's view of a transfer and of one of its sources. */

import type { ChunkProgress } from "./chunk_progress.ts";
import type { PeerHolding } from "./peer_holdings.ts";
import type { Source, TransferView } from "./policy.ts";
import type { TransferState } from "./transfer_state.ts";

/**
 * Length of the window of chunks that the fleet downloads from the store at one
 * time. The window advances with the notices of held chunks, which take up to
 * 250 ms in a fleet of 25; with less than a second of chunks the store's link
 * would sometimes be idle.
 */
const STORE_WINDOW_MS = 1_000;
const MIN_STORE_WINDOW = 4;

/** Built once for each task, because tasks decide many times a second. */
export function createTransferView(
  state: TransferState,
  progress: ChunkProgress,
  options: { readonly source: Source; readonly holding?: PeerHolding },
): TransferView {
  const { source, holding } = options;
  const { context, peers, regionShare, takeover } = state;
  const { chunks, sizeBytes } = progress.manifest;
  const averageBytes = sizeBytes / chunks.length;
  return {
    get nowMs() {
      return context.nowMs();
    },
    source,
    chunkCount: chunks.length,
    get peerRequestsInFlight() {
      return state.peerRequestsInFlight;
    },
    isHeld: progress.isHeld,
    needsRequest: progress.needsRequest,
    countHolders: peers.countHolders,
    hasLessUsedHolder: (index) =>
      holding !== undefined && peers.hasLessUsedHolder(holding, index),
    isAssigned: takeover.isAssigned,
    canFetch: takeover.canFetch,
    get storeWindowChunks() {
      const { storeBytesPerS } = context.readLinkRates();
      const windowBytes = (storeBytesPerS * STORE_WINDOW_MS) / 1000;
      return Math.max(MIN_STORE_WINDOW, Math.ceil(windowBytes / averageBytes));
    },
    get regionLinkFreeAtMs() {
      return regionShare.freeAtMs();
    },
    random: context.random,
  };
}
