/**
 * The transfer of one version: a task for the manifest, one for each peer and
 * a few for the store. Each task asks the policy what to do next, does it, and
 * records the outcome, until the version is whole or no longer wanted.
 */

import { rankByHash } from "../hashing/mod.ts";
import type { Logger } from "../logging/mod.ts";
import { createAssignments } from "./assignments.ts";
import type { Assignments, Level } from "./assignments.ts";
import { clearBit, createBitmap, hasBit, setBit } from "./bitmap.ts";
import type { ChangeSignal } from "./change_signal.ts";
import type { ChunkCache } from "./chunk_cache.ts";
import { computeDigest } from "./digest.ts";
import { fetchFromPeer, MANIFEST_INDEX } from "./fetch_from_peer.ts";
import type { FetchLimits, FetchResult } from "./fetch_result.ts";
import { countHolders } from "./holder_counts.ts";
import type { HolderCounts } from "./holder_counts.ts";
import { MAX_MANIFEST_BYTES, parseManifest } from "./manifest.ts";
import type { Manifest } from "./manifest.ts";
import { chooseGateways } from "./members.ts";
import type { Member } from "./members.ts";
import type { Holding, PeerHoldings } from "./peer_holdings.ts";
import type { Policy, Source, TransferView } from "./policy.ts";
import { createRetryTimes } from "./retry_times.ts";
import type { StoreClient } from "./store_client.ts";
import { createTakeover } from "./takeover.ts";
import type { WeightCounters } from "./weight_counters.ts";
import type { WantedVersion } from "./weights.ts";

/** Each gateway in turn asks the store for the manifest after this time. */
const MANIFEST_RANK_MS = 300;
/** An agent that is no gateway asks the store only if no peer could help. */
const MANIFEST_LATE_MS = 5_000;
/** Part of the fleet's chunks that the store sends at one time. */
const STORE_WINDOW_MS = 400;
const MIN_STORE_WINDOW = 4;
/** Leaves room for live traffic, which the agents cannot see in total. */
const REGION_SHARE = 0.9;
/** A holder that has sent this much less, in copies, is asked instead. */
const LIGHTER_BY_COPIES = 0.15;

export interface Transfer {
  readonly version: WantedVersion;
  manifest(): Manifest | undefined;
  /** One bit for each chunk held; empty until the manifest is known. */
  bitmap(): Uint8Array;
  chunksHeld(): number;
  addPeer(holding: Holding): void;
  onMembersChanged(): void;
  onHoldingsChanged(): void;
  end(): void;
}

export interface TransferContext {
  readonly selfHost: string;
  readonly policy: Policy;
  readonly usesPeers: boolean;
  readonly storeTasks: number;
  readonly cache: ChunkCache;
  readonly holdings: PeerHoldings;
  readonly store: StoreClient;
  readonly changes: ChangeSignal;
  readonly counters: WeightCounters;
  readonly logger: Logger;
  readonly waitForRoom: () => Promise<void>;
  readonly chargeStoreBytes: (bytes: number) => void;
  readonly listMembers: () => readonly Member[];
  readonly readLinks: () => {
    readonly storeBytesPerS: number;
    readonly regionBytesPerS: number;
  };
  /** A manifest that is already known. */
  readonly findManifest: (digest: string) => Manifest | undefined;
  readonly onManifest: (manifest: Manifest) => void;
  readonly onChunk: () => void;
  readonly onComplete: () => void;
  readonly nowMs: () => number;
  readonly random: () => number;
}

export function startTransfer(
  version: WantedVersion,
  context: TransferContext,
): Transfer {
  const { holdings, cache, counters, changes, logger, nowMs } = context;
  const manifestDigest = holdings.intern(version.manifestDigest);
  const aborter = new AbortController();
  const startedAtMs = nowMs();
  const avoided = new Set<string>();
  const retries = createRetryTimes({ nowMs, random: context.random });
  let wanted = createBitmap(0);
  const indicesOf = new Map<string, number[]>();
  let manifest: Manifest | undefined;
  let held = createBitmap(0);
  let chunksHeld = 0;
  let peerRequests = 0;
  let regionLinkFreeAtMs = 0;
  let assignments: Assignments | undefined;
  let counts: HolderCounts | undefined;
  let members = context.listMembers();
  const distances = new Map<string, Source["distance"]>();

  const takeover = createTakeover({
    assignments: readAssignments,
    findHolding(host) {
      const holding = holdings.find(host);
      return holding?.manifestDigest === manifestDigest ? holding : undefined;
    },
    lostAtMs: holdings.lostAtMs,
    isDistrusted,
    startedAtMs,
    nowMs,
    onTakeover: (level) => counters.takeovers.increment({ level }),
  });

  function isEnded() {
    return aborter.signal.aborted;
  }

  function isWhole() {
    return manifest !== undefined && chunksHeld === manifest.chunks.length;
  }

  function readAssignments(): Assignments {
    assignments ??= createAssignments({
      gateways: chooseGateways(members),
      self: context.selfHost,
      manifestDigest,
      chunkCount: manifest?.chunks.length ?? 0,
    });
    return assignments;
  }

  function findOwn() {
    return members.find((member) => member.host.name === context.selfHost);
  }

  function distanceOf(holding: Holding): Source["distance"] {
    const { dataCentre } = holding;
    const known = distances.get(dataCentre);
    if (known !== undefined) return known;
    const found = computeDistance(dataCentre);
    distances.set(dataCentre, found);
    return found;
  }

  function computeDistance(dataCentre: string): Source["distance"] {
    const own = findOwn();
    if (own === undefined || dataCentre === own.host.dataCentre) {
      return "data_centre";
    }
    const region = members.find(
      (member) => member.host.dataCentre === dataCentre,
    )?.region;
    return region === own.region ? "region" : "other_region";
  }

  function isUsable(holding: Holding): boolean {
    return (
      holding.manifestDigest === manifestDigest &&
      holding.chunkCount === manifest?.chunks.length &&
      !avoided.has(holding.host)
    );
  }

  /** Its chunks do not count as held until it has sent one again. */
  function isDistrusted(host: string): boolean {
    return avoided.has(host) || retries.failures(host) > 0;
  }

  function readCounts(): HolderCounts {
    counts ??= countHolders({
      chunkCount: manifest?.chunks.length ?? 0,
      holdings: holdings
        .list()
        .filter((holding) => isUsable(holding) && !isDistrusted(holding.host))
        .map((holding) => ({
          bitmap: holding.bitmap,
          distance: distanceOf(holding),
        })),
    });
    return counts;
  }

  /** Wanted chunks are those that are neither held nor requested. */
  function setWanted(digest: string, isWanted: boolean) {
    const change = isWanted ? setBit : clearBit;
    (indicesOf.get(digest) ?? []).forEach((index) => change(wanted, index));
  }

  function markHeld(digest: string) {
    setWanted(digest, false);
    (indicesOf.get(digest) ?? []).forEach((index) => {
      if (hasBit(held, index)) return;
      setBit(held, index);
      chunksHeld += 1;
    });
  }

  function onManifest(found: Manifest) {
    manifest = found;
    held = createBitmap(found.chunks.length);
    wanted = createBitmap(found.chunks.length).fill(0xff);
    assignments = undefined;
    counts = undefined;
    found.chunks.forEach((chunk, index) => {
      const indices = indicesOf.get(chunk.digest);
      if (indices === undefined) indicesOf.set(chunk.digest, [index]);
      else indices.push(index);
    });
    [...indicesOf.keys()]
      .filter((digest) => cache.get(digest) !== undefined)
      .forEach(markHeld);
    context.onManifest(found);
  }

  function createView(source: Source, holding?: Holding): TransferView {
    const current = manifest!;
    const averageBytes = current.sizeBytes / current.chunks.length;
    // Built once for each task: tasks decide many times a second.
    return {
      get nowMs() {
        return nowMs();
      },
      source,
      chunkCount: current.chunks.length,
      get peerRequests() {
        return peerRequests;
      },
      isHeld: (index) => hasBit(held, index),
      isWanted: (index) => hasBit(wanted, index),
      holders: (level: Level, index) => readCounts().holders(level, index),
      hasBetterHolder: (index) =>
        holding !== undefined && hasBetterHolder(holding, index),
      mayFetch: takeover.mayFetch,
      get storeWindowChunks() {
        const { storeBytesPerS } = context.readLinks();
        const windowBytes = (storeBytesPerS * STORE_WINDOW_MS) / 1000;
        return Math.max(
          MIN_STORE_WINDOW,
          Math.ceil(windowBytes / averageBytes),
        );
      },
      get regionLinkFreeAtMs() {
        return regionLinkFreeAtMs;
      },
      random: context.random,
    };
  }

  function hasBetterHolder(holding: Holding, index: number): boolean {
    const distance = distanceOf(holding);
    const limit = holding.sentBytes - LIGHTER_BY_COPIES * version.sizeBytes;
    if (limit <= 0) return false;
    return holdings
      .list()
      .some(
        (other) =>
          other.sentBytes < limit &&
          isUsable(other) &&
          !isDistrusted(other.host) &&
          hasBit(other.bitmap, index) &&
          retries.readyAtMs(other.host) <= nowMs() &&
          distanceOf(other) === distance,
      );
  }

  /**
   * Each gateway of the receiving region takes an equal part of the link
   * between regions. Chunks are assigned evenly to gateways, so equal parts
   * fill the link although no agent knows what the others receive. A part is
   * taken before the request, so that a slow share holds no upload slot.
   */
  function takeRegionShare(sizeBytes: number) {
    const senders = Math.max(1, readAssignments().regionGatewayCount);
    const { regionBytesPerS } = context.readLinks();
    const shareBytesPerS = (regionBytesPerS * REGION_SHARE) / senders;
    const chunkMs = (sizeBytes / shareBytesPerS) * 1000;
    const earliest = nowMs() - chunkMs;
    regionLinkFreeAtMs = Math.max(earliest, regionLinkFreeAtMs) + chunkMs;
  }

  function createLimits(
    from: "store" | Source["distance"],
    size: { readonly sizeBytes: number; readonly isExact: boolean },
  ): FetchLimits {
    return {
      ...size,
      waitForRoom: context.waitForRoom,
      signal: aborter.signal,
      onBytes(bytes) {
        if (from === "store") context.chargeStoreBytes(bytes);
        counters.receivedBytes.increment({ from }, bytes);
      },
    };
  }

  /** Records a failure; returns the bytes if the request succeeded. */
  function settle(name: string, result: FetchResult): Uint8Array | undefined {
    if (isEnded()) return undefined;
    if (result.type === "ok") return result.bytes;
    const source = name === "" ? "store" : "peer";
    if (result.type === "refused") {
      retries.defer(name, result.retryAfterMs);
      if (source === "peer") return undefined;
      retries.backOff(name);
      counters.failedRequests.increment({ source, reason: result.code });
      return undefined;
    }
    counters.failedRequests.increment({ source, reason: result.reason });
    if (result.type === "corrupt") onCorrupt(name);
    else retries.backOff(name);
    counts = undefined;
    return undefined;
  }

  function onCorrupt(name: string) {
    const source = name === "" ? "store" : "peer";
    counters.corruptChunks.increment({ source });
    logger.warn({ source, host: name, manifestDigest }, "Corrupt chunk");
    if (name === "") return retries.backOff(name);
    avoided.add(name);
    counts = undefined;
    changes.notify();
  }

  async function fetchChunk(
    index: number,
    options: {
      readonly name: string;
      readonly from: "store" | Source["distance"];
      readonly run: (limits: FetchLimits) => Promise<FetchResult>;
    },
  ): Promise<FetchResult["type"]> {
    const chunk = manifest!.chunks[index]!;
    const { digest, sizeBytes } = chunk;
    const isKept = (other: string) => indicesOf.has(other);
    if (!cache.reserve(sizeBytes, isKept)) {
      retries.defer(options.name, 1_000);
      counters.failedRequests.increment({ source: "cache", reason: "memory" });
      return "failed";
    }
    setWanted(digest, false);
    const limits = createLimits(options.from, { sizeBytes, isExact: true });
    const result = await options.run(limits);
    const bytes = settle(options.name, result);
    const isValid = bytes !== undefined && computeDigest(bytes) === digest;
    if (!isValid) {
      cache.release(sizeBytes);
      setWanted(digest, true);
      if (bytes !== undefined) onCorrupt(options.name);
      changes.notify();
      return result.type;
    }
    retries.succeed(options.name);
    cache.put(digest, bytes);
    markHeld(digest);
    counts = undefined;
    context.onChunk();
    changes.notify();
    if (isWhole()) context.onComplete();
    return "ok";
  }

  async function runStoreTask() {
    const source: Source = {
      kind: "store",
      distance: "other_region",
      has: () => true,
      sentCopies: () => 0,
    };
    const view = createView(source);
    while (!isEnded() && !isWhole()) {
      const readyAtMs = retries.readyAtMs("");
      if (readyAtMs > nowMs()) {
        await changes.wait(readyAtMs - nowMs());
        continue;
      }
      const decision = context.policy(view);
      if (decision.type === "wait") {
        await changes.wait(decision.untilMs - nowMs());
        continue;
      }
      const { digest } = manifest!.chunks[decision.index]!;
      await fetchChunk(decision.index, {
        name: "",
        from: "store",
        run: (limits) => context.store.fetch("chunks", digest, limits),
      });
    }
  }

  async function runPeerTask(holding: Holding) {
    const { peer, host } = holding;
    const source: Source = {
      kind: "peer",
      distance: distanceOf(holding),
      has: (index) => hasBit(holding.bitmap, index),
      sentCopies: () => holding.sentBytes / version.sizeBytes,
    };
    const view = createView(source, holding);
    while (!isEnded() && !isWhole() && !peer.isClosed()) {
      if (avoided.has(host)) return;
      const readyAtMs = isUsable(holding)
        ? retries.readyAtMs(host)
        : nowMs() + 1_000;
      if (readyAtMs > nowMs()) {
        await changes.wait(readyAtMs - nowMs());
        continue;
      }
      const decision = context.policy(view);
      if (decision.type === "wait") {
        await changes.wait(decision.untilMs - nowMs());
        continue;
      }
      const { index } = decision;
      if (source.distance === "other_region") {
        takeRegionShare(manifest!.chunks[index]!.sizeBytes);
      }
      peerRequests += 1;
      await fetchChunk(index, {
        name: host,
        from: source.distance,
        run: (limits) => fetchFromPeer(peer, { manifestDigest, index }, limits),
      });
      peerRequests -= 1;
    }
  }

  async function fetchManifestOnce(): Promise<boolean> {
    const now = nowMs();
    const peers = holdings
      .list()
      .filter(
        (holding) =>
          context.usesPeers &&
          holding.manifestDigest === manifestDigest &&
          holding.chunkCount > 0 &&
          !avoided.has(holding.host) &&
          retries.readyAtMs(holding.host) <= now,
      );
    const size = { sizeBytes: MAX_MANIFEST_BYTES, isExact: false };
    const chosen = peers[Math.floor(context.random() * peers.length)];
    if (chosen !== undefined) {
      const result = await fetchFromPeer(
        chosen.peer,
        { manifestDigest, index: MANIFEST_INDEX },
        createLimits(distanceOf(chosen), size),
      );
      return acceptManifest(chosen.host, result);
    }
    if (now < storeTurnAtMs() || retries.readyAtMs("") > now) return false;
    const limits = createLimits("store", size);
    const result = await context.store.fetch(
      "manifests",
      manifestDigest,
      limits,
    );
    return acceptManifest("", result);
  }

  function acceptManifest(name: string, result: FetchResult): boolean {
    const bytes = settle(name, result);
    if (bytes === undefined) return false;
    const parsed = parseManifest(bytes, version);
    if (parsed.isOk()) {
      retries.succeed(name);
      onManifest(parsed.value);
      return true;
    }
    const reason = parsed.error;
    if (reason === "wrong_digest") {
      onCorrupt(name);
      return false;
    }
    // These are the exact bytes that the document pins: no source has others.
    counters.refusedVersions.increment({ reason });
    logger.error({ manifestDigest, reason }, "Manifest refused");
    aborter.abort();
    return false;
  }

  function storeTurnAtMs(): number {
    if (!context.usesPeers) return startedAtMs;
    const names = chooseGateways(members).map((member) => member.host.name);
    const rank = rankByHash(manifestDigest, names).indexOf(context.selfHost);
    const delayMs = rank < 0 ? MANIFEST_LATE_MS : rank * MANIFEST_RANK_MS;
    return startedAtMs + delayMs;
  }

  async function run() {
    const known = context.findManifest(manifestDigest);
    if (known !== undefined) onManifest(known);
    while (!isEnded() && manifest === undefined) {
      if (await fetchManifestOnce()) break;
      await changes.wait(MANIFEST_RANK_MS / 3);
    }
    if (isEnded()) return;
    if (isWhole()) return context.onComplete();
    changes.notify();
    for (let task = 0; task < context.storeTasks; task += 1) {
      void runStoreTask();
    }
    holdings.list().forEach(addPeer);
  }

  function addPeer(holding: Holding) {
    if (!context.usesPeers || manifest === undefined || isEnded()) return;
    void runPeerTask(holding);
  }

  void run();
  return {
    version,
    manifest: () => manifest,
    bitmap: () => held,
    chunksHeld: () => chunksHeld,
    addPeer,
    onMembersChanged() {
      const next = context.listMembers();
      if (describeMembers(next) === describeMembers(members)) return;
      members = next;
      distances.clear();
      assignments = undefined;
      counts = undefined;
      changes.notify();
    },
    onHoldingsChanged() {
      counts = undefined;
    },
    end() {
      aborter.abort();
      changes.notify();
    },
  };
}

function describeMembers(members: readonly Member[]): string {
  return members
    .map(({ host, region }) => `${host.name}/${host.dataCentre}/${region}`)
    .join(" ");
}
