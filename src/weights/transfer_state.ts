/** The state that the tasks of one transfer share. */

import { createBitmap } from "./bitmap.ts";
import { createChunkProgress } from "./chunk_progress.ts";
import type { ChunkProgress } from "./chunk_progress.ts";
import type { FetchLimits } from "./fetch_result.ts";
import type { Manifest } from "./manifest.ts";
import type { Source } from "./policy.ts";
import { createRecentRate } from "./recent_rate.ts";
import { createRegionShare } from "./region_share.ts";
import type { RegionShare } from "./region_share.ts";
import { createSourceOutcomes } from "./source_outcomes.ts";
import type { SourceOutcomes } from "./source_outcomes.ts";
import { createTakeoverPolicy } from "./takeover.ts";
import type { TakeoverPolicy } from "./takeover.ts";
import type { TransferContext } from "./transfer_context.ts";
import { createTransferPeers } from "./transfer_peers.ts";
import type { TransferPeers } from "./transfer_peers.ts";
import type { WantedVersion } from "./weight_distributor.ts";

export interface TransferState {
  readonly context: TransferContext;
  readonly version: WantedVersion;
  /** Interned: the string object that holdings of this version share. */
  readonly manifestDigest: string;
  readonly startedAtMs: number;
  readonly outcomes: SourceOutcomes;
  readonly peers: TransferPeers;
  readonly regionShare: RegionShare;
  readonly takeover: TakeoverPolicy;
  peerRequestsInFlight: number;
  /** Undefined until the manifest is known. */
  progress(): ChunkProgress | undefined;
  /** Receive rate over the last seconds, from all sources. */
  bytesPerS(): number;
  /** Empty until the manifest is known. */
  bitmap(): Uint8Array;
  setManifest(manifest: Manifest): void;
  createFetchLimits(
    from: "store" | Source["distance"],
    size: Pick<FetchLimits, "sizeBytes" | "isExact">,
  ): FetchLimits;
  isEnded(): boolean;
  isComplete(): boolean;
  end(): void;
}

export function createTransferState(
  version: WantedVersion,
  context: TransferContext,
): TransferState {
  const { holdings, cache, counters, nowMs } = context;
  const manifestDigest = holdings.intern(version.manifestDigest);
  const aborter = new AbortController();
  const startedAtMs = nowMs();
  const emptyBitmap = createBitmap(0);
  const rate = createRecentRate(nowMs);
  let progress: ChunkProgress | undefined;

  function isEnded() {
    return aborter.signal.aborted;
  }

  const outcomes = createSourceOutcomes({
    context,
    manifestDigest,
    isEnded,
    onChange: () => peers.onHoldingsChanged(),
  });
  const peers = createTransferPeers({
    context,
    outcomes,
    manifestDigest,
    sizeBytes: version.sizeBytes,
    chunkCount: () => progress?.manifest.chunks.length,
  });
  const takeover = createTakeoverPolicy({
    assignments: peers.assignments,
    findHolding(host) {
      const holding = holdings.find(host);
      return holding?.manifestDigest === manifestDigest ? holding : undefined;
    },
    disconnectedAtMs: holdings.disconnectedAtMs,
    isDistrusted: outcomes.isDistrusted,
    isAwaitingReports: context.isAwaitingReports,
    startedAtMs,
    timeouts: context.timeouts,
    nowMs,
    onTakeover: (level) => counters.takeovers.increment({ level }),
  });

  return {
    context,
    version,
    manifestDigest,
    startedAtMs,
    outcomes,
    peers,
    regionShare: createRegionShare({
      readBytesPerS: () => context.readLinkRates().regionBytesPerS,
      countRelays: () => peers.assignments().regionRelayCount,
      nowMs,
    }),
    takeover,
    peerRequestsInFlight: 0,
    progress: () => progress,
    bytesPerS: rate.bytesPerS,
    bitmap: () => progress?.held ?? emptyBitmap,
    setManifest(manifest) {
      progress = createChunkProgress(
        manifest,
        (digest) => cache.get(digest) !== undefined,
      );
      peers.onManifest();
      context.onManifest(manifest);
    },
    createFetchLimits: (from, size) => ({
      ...size,
      waitForBandwidth: context.waitForBandwidth,
      signal: aborter.signal,
      onBytes(bytes) {
        rate.add(bytes);
        if (from === "store") context.chargeStoreBytes(bytes);
        counters.receivedBytes.increment({ from }, bytes);
      },
    }),
    isEnded,
    isComplete: () => progress?.isComplete() ?? false,
    end: () => aborter.abort(),
  };
}
