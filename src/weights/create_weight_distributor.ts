/**
 * Weight distribution of one agent: connects the chunk cache, the weight store,
 * the peers and the current transfer.
 */

import type { Logger } from "../logging/mod.ts";
import type { HaveNotice, Phase } from "../wire/mod.ts";
import { createAnnouncer } from "./announcer.ts";
import { createAwaitedReports } from "./awaited_reports.ts";
import { createBitmap, hasBit } from "./bitmap.ts";
import { createChangeSignal } from "./change_signal.ts";
import { createChunkCache } from "./chunk_cache.ts";
import { createChunkServer } from "./chunk_server.ts";
import { chooseWeightPeers } from "./choose_weight_peers.ts";
import { MANIFEST_INDEX } from "./fetch_from_peer.ts";
import {
  createHostRateLimiters,
  readHostBytesPerS,
  readLinkRates,
} from "./link_rates.ts";
import type { LinkOptions } from "./link_rates.ts";
import { computeDigest } from "./digest.ts";
import { parseManifest } from "./manifest.ts";
import type { Manifest } from "./manifest.ts";
import { findMembers } from "./members.ts";
import { DEFAULT_TIMEOUTS } from "./transfer_timeouts.ts";
import type { TransferTimeouts } from "./transfer_timeouts.ts";
import { createPeerHoldings } from "./peer_holdings.ts";
import type { PeerHolding } from "./peer_holdings.ts";
import type { Policy } from "./policy.ts";
import type { StoreClient } from "./store_client.ts";
import { decideFromStore } from "./store_policy.ts";
import { decideInSwarm } from "./swarm_policy.ts";
import { startTransfer } from "./transfer.ts";
import type { Transfer } from "./transfer.ts";
import { createWeightCounters } from "./weight_counters.ts";
import type {
  TransferProgress,
  WantedVersion,
  WeightDistributor,
} from "./weight_distributor.ts";

export type WeightsPolicy = "store" | "swarm";

export interface WeightDistributorOptions extends LinkOptions {
  readonly service: string;
  /** Closed by `close`. */
  readonly store: StoreClient;
  readonly memoryBytes: number;
  readonly policy: WeightsPolicy;
  readonly timeouts?: TransferTimeouts;
  readonly logger: Logger;
}

interface PolicyOptions {
  readonly decide: Policy;
  readonly usesPeers: boolean;
  readonly storeTaskCount: number;
}

const POLICIES: Readonly<Record<WeightsPolicy, PolicyOptions>> = {
  store: { decide: decideFromStore, usesPeers: false, storeTaskCount: 4 },
  swarm: { decide: decideInSwarm, usesPeers: true, storeTaskCount: 2 },
};

/** Notices that arrive within this time are processed together. */
const NOTICE_DELAY_MS = 25;
/** Manifests of earlier versions are kept to serve their chunks. */
const MAX_MANIFESTS = 8;
/**
 * Copies of a version that an agent sends before it refuses requests in favour
 * of holders that have sent `MIN_SENT_GAP_COPIES` less.
 */
const REFUSAL_MIN_SENT_COPIES = 1.2;
const MIN_SENT_GAP_COPIES = 0.3;

export function createWeightDistributor(
  options: WeightDistributorOptions,
): WeightDistributor {
  const { node, service, registry, logger, memoryBytes, store } = options;
  const { decide, usesPeers, storeTaskCount } = POLICIES[options.policy];
  const counters = createWeightCounters(registry);
  const cache = createChunkCache(memoryBytes);
  const changes = createChangeSignal();
  const manifests = new Map<string, Manifest>();
  const completeHandlers: ((manifestDigest: string) => void)[] = [];
  const completed = new Set<string>();
  const sentBytes = new Map<string, number>();
  let transfer: Transfer | undefined;
  let servingDigest: string | undefined;
  let phase: Phase = "unknown";
  let isClosed = false;

  const { up: uplink, down: downlink } = createHostRateLimiters(options, nowMs);
  const announcer = createAnnouncer({
    buildNotice,
    listPeers: () => holdings.list().map((holding) => holding.peer),
    nowMs,
  });
  const server = createChunkServer({
    findBytes,
    hasLessUsedHolder(peer, manifestDigest, index) {
      const sent = sentBytes.get(manifestDigest) ?? 0;
      const sizeBytes = manifests.get(manifestDigest)?.sizeBytes ?? Infinity;
      if (sent < REFUSAL_MIN_SENT_COPIES * sizeBytes) return false;
      const limit = sent - MIN_SENT_GAP_COPIES * sizeBytes;
      const { host, dataCentre } = peer.hello;
      return holdings
        .list()
        .some(
          (other) =>
            other.host !== host &&
            other.dataCentre === dataCentre &&
            other.manifestDigest === manifestDigest &&
            other.sentBytes < limit &&
            hasBit(other.bitmap, index),
        );
    },
    waitForBandwidth: uplink.waitForBandwidth,
    onSent(peer, manifestDigest, bytes) {
      const sum = (sentBytes.get(manifestDigest) ?? 0) + bytes;
      sentBytes.set(manifestDigest, sum);
      const isLocal = peer.hello.dataCentre === node.identity.dataCentre;
      const to = isLocal ? "data_centre" : "other_data_centre";
      counters.sentBytes.increment({ to }, bytes);
      announcer.scheduleAnnouncement();
    },
    readBytesPerS: () => readHostBytesPerS(options, "up"),
    counters,
  });
  const holdings = createPeerHoldings({
    node,
    counters,
    nowMs,
    onPeer(holding) {
      announcer.announceTo(holding.peer);
      transfer?.addPeer(holding);
    },
    onChange() {
      transfer?.onHoldingsChanged();
      changes.notify(NOTICE_DELAY_MS);
    },
  });

  const timeouts = options.timeouts ?? DEFAULT_TIMEOUTS;
  const awaitedReports = createAwaitedReports({
    findHolding: holdings.find,
    graceMs: timeouts.offlineGraceMs,
    nowMs,
  });

  // Also with the policy "store", because roll-outs rely on notices of peers.
  node.addPeerChooser((view) => {
    const local = { host: node.identity.host, service };
    const chosen = chooseWeightPeers(view, local);
    awaitedReports.setPeers(chosen.map(({ name }) => name));
    return chosen;
  });
  node.onStream("chunk", server.onStream);
  node.view.onChange(() => transfer?.onMembersChanged());
  registry.gauge("weights_memory_bytes", "Bytes held for chunks", () =>
    cache.usedBytes(),
  );

  function findBytes(manifestDigest: string, index: number) {
    const manifest = manifests.get(manifestDigest);
    if (index === MANIFEST_INDEX) return manifest?.bytes;
    const chunk = manifest?.chunks[index];
    return chunk && cache.get(chunk.digest);
  }

  function buildNotice(): HaveNotice {
    return {
      topic: "have",
      manifestDigest: transfer?.version.manifestDigest ?? "",
      chunkCount: transfer?.manifest()?.chunks.length ?? 0,
      bitmap: transfer?.bitmap() ?? createBitmap(0),
      ...(servingDigest === undefined ? {} : { servingDigest }),
      phase,
      sentBytes: sentBytes.get(transfer?.version.manifestDigest ?? "") ?? 0,
    };
  }

  function onManifest(manifest: Manifest) {
    manifests.delete(manifest.digest);
    manifests.set(manifest.digest, manifest);
    const oldest = [...manifests.keys()].slice(0, -MAX_MANIFESTS);
    oldest.forEach((digest) => {
      manifests.delete(digest);
      sentBytes.delete(digest);
    });
    announcer.scheduleAnnouncement();
  }

  function onComplete(manifestDigest: string) {
    if (completed.has(manifestDigest)) return;
    completed.add(manifestDigest);
    logger.info({ manifestDigest }, "Version transfer complete");
    completeHandlers.forEach((handler) => handler(manifestDigest));
  }

  /** Counts and logs a version that exceeds the memory limit. */
  function fitsInMemory(version: WantedVersion): boolean {
    const { manifestDigest, sizeBytes } = version;
    if (sizeBytes <= memoryBytes) return true;
    counters.refusedVersions.increment({ reason: "memory" });
    logger.error(
      { manifestDigest, sizeBytes, memoryBytes },
      "Version exceeds the memory limit for weights",
    );
    return false;
  }

  function setWantedVersion(version: WantedVersion | undefined) {
    if (isClosed) return;
    const current = transfer?.version;
    const isSame =
      current?.manifestDigest === version?.manifestDigest &&
      current?.sizeBytes === version?.sizeBytes;
    if (isSame) return;
    transfer?.end();
    transfer = undefined;
    if (version !== undefined && fitsInMemory(version)) {
      // Its chunks may have been evicted since it was last complete.
      if (!progress(version.manifestDigest).isComplete) {
        completed.delete(version.manifestDigest);
      }
      transfer = startTransfer(version, {
        ownHost: node.identity.host,
        policy: decide,
        usesPeers,
        storeTaskCount,
        timeouts,
        cache,
        holdings,
        isAwaitingReports: awaitedReports.isAwaiting,
        store,
        changes,
        counters,
        logger,
        waitForBandwidth: downlink.waitForBandwidth,
        chargeStoreBytes: downlink.charge,
        listMembers: () => findMembers(node.view, service),
        readLinkRates: () => readLinkRates(node),
        findManifest: (digest) => manifests.get(digest),
        onManifest,
        onChunk: announcer.scheduleAnnouncement,
        onComplete: () => onComplete(version.manifestDigest),
        nowMs,
        random: Math.random,
      });
    }
    announcer.scheduleAnnouncement();
  }

  function progress(manifestDigest: string): TransferProgress {
    const manifest = manifests.get(manifestDigest);
    const chunks = manifest?.chunks ?? [];
    const heldChunks = chunks.filter(
      (chunk) => cache.get(chunk.digest) !== undefined,
    );
    const isComplete = chunks.length > 0 && heldChunks.length === chunks.length;
    const isInProgress =
      !isComplete && transfer?.version.manifestDigest === manifestDigest;
    return {
      manifestDigest,
      chunksHeld: heldChunks.length,
      chunkCount: chunks.length,
      bytesHeld: heldChunks.reduce((sum, chunk) => sum + chunk.sizeBytes, 0),
      bytesPerS: isInProgress ? transfer!.bytesPerS() : 0,
      isComplete,
    };
  }

  return {
    setWantedVersion,
    progress,
    onComplete: (handler) => void completeHandlers.push(handler),
    setServingState(digest, newPhase) {
      if (servingDigest === digest && phase === newPhase) return;
      servingDigest = digest;
      phase = newPhase;
      announcer.scheduleAnnouncement();
    },
    peers: () => holdings.list().map(describePeer),
    readManifest: (digest) => manifests.get(digest)?.bytes,
    readChunks(manifestDigest) {
      const chunks = manifests.get(manifestDigest)?.chunks;
      const bytes = (chunks ?? []).flatMap(
        (chunk) => cache.get(chunk.digest) ?? [],
      );
      return chunks !== undefined && bytes.length === chunks.length
        ? bytes
        : undefined;
    },
    importChunks(version, manifestBytes, chunks) {
      const parsed = parseManifest(manifestBytes, version);
      if (parsed.isErr()) return undefined;
      const digests = new Set(parsed.value.chunks.map(({ digest }) => digest));
      const imported = chunks.filter((bytes) => {
        const digest = computeDigest(bytes);
        if (!digests.has(digest)) return false;
        if (cache.get(digest) !== undefined) return true;
        if (!cache.reserve(bytes.length, (held) => digests.has(held))) {
          return false;
        }
        cache.put(digest, bytes);
        return true;
      });
      onManifest(parsed.value);
      return imported.length;
    },
    async close() {
      isClosed = true;
      transfer?.end();
      announcer.close();
      server.close();
      uplink.close();
      downlink.close();
      changes.notify();
      await store.close();
    },
  };
}

function nowMs(): number {
  return performance.now();
}

function describePeer(holding: PeerHolding) {
  const { servingDigest } = holding;
  return {
    host: holding.host,
    dataCentre: holding.dataCentre,
    service: holding.peer.hello.service ?? "",
    ...(servingDigest === undefined ? {} : { servingDigest }),
    phase: holding.phase,
    wantedDigest: holding.manifestDigest,
    chunksHeld: holding.chunksHeld,
    chunkCount: holding.chunkCount,
  };
}
