/**
 * Synchronizes the snapshots of connected processes by gossip. A process
 * announces a new version to its gossip partners, and a partner with an older
 * version pulls it. It also exchanges versions with one neighbour each second,
 * which repairs lost announcements and spreads confirmation times while nothing
 * changes.
 */

import type { Clock } from "../membership/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { Registry } from "../metrics/mod.ts";
import type { Peer, Stream, VersionNotice } from "../wire/mod.ts";
import { createSnapshotServer, pullSnapshot } from "./exchange.ts";
import type { SnapshotStore, Topic } from "./snapshot_store.ts";

/** Below a quarter of the 5 s in which a lost announcement must be repaired. */
const PROBE_INTERVAL_MS = 1_000;
/** A peer that probed within this time is treated as a gossip partner. */
const PROBER_RETENTION_MS = 15_000;
/** After two stalled peers there must be time for a third within 5 s. */
const PULL_TIMEOUT_MS = 1_000;
/**
 * First backoff after a failed pull from a peer, doubled with each failure, so
 * that peers that reply are preferred.
 */
const PULL_RETRY_MS = 1_000;
const MAX_PULL_RETRY_MS = 16_000;
/** A confirmation time is forwarded if it is later by more than this. */
const MIN_CONFIRMATION_ADVANCE_MS = 1_000;
const NOTICE_DIGEST_DIGITS = 16;

export type Comparison =
  /** The peer has a value, and the value held here is not older now. */
  | "compared"
  /** The peer has no value, or has just resumed from a pause. */
  | "inconclusive"
  | "failed";

export interface Gossip {
  onPeer(peer: Peer): void;
  onNotice(peer: Peer, notice: VersionNotice): void;
  onSnapshotStream(stream: Stream): void;
  /** Pulls from `peer` if it has a newer version. */
  compare(peer: Peer, topic: Topic): Promise<Comparison>;
  close(): void;
}

export interface GossipOptions {
  readonly stores: readonly SnapshotStore[];
  readonly peers: () => readonly Peer[];
  /** Names of the hosts chosen as gossip neighbours. */
  readonly neighbours: () => ReadonlySet<string>;
  readonly isRecoveringFromPause: () => boolean;
  readonly clock: Clock;
  readonly registry: Registry;
  readonly logger: Logger;
}

/** State kept for each connection. */
interface PeerState {
  readonly versions: Map<Topic, number>;
  readonly retryAtMs: Map<Topic, number>;
  /** Failed pulls since the last successful one. */
  readonly failures: Map<Topic, number>;
  /** Topics whose next pull must not use a delta. */
  readonly needsWhole: Set<Topic>;
  probedAtMs: number;
}

export function createGossip(options: GossipOptions): Gossip {
  const { stores, clock, registry, logger } = options;
  const server = createSnapshotServer({
    isRecoveringFromPause: options.isRecoveringFromPause,
  });
  const states = new WeakMap<Peer, PeerState>();
  const pulls = new Map<Topic, Promise<unknown>>();
  let probeCount = 0;
  let isClosed = false;
  const pullFailures = registry.counter(
    "snapshot_pull_failures_total",
    "Failed pulls of snapshots from peers by topic and reason",
  );

  function getState(peer: Peer): PeerState {
    const found = states.get(peer);
    if (found !== undefined) return found;
    const created: PeerState = {
      versions: new Map(),
      retryAtMs: new Map(),
      failures: new Map(),
      needsWhole: new Set(),
      probedAtMs: -Infinity,
    };
    states.set(peer, created);
    return created;
  }

  function isGossipPartner(peer: Peer): boolean {
    const ageMs = clock.monotonicMs() - getState(peer).probedAtMs;
    return (
      ageMs < PROBER_RETENTION_MS || options.neighbours().has(peer.hello.host)
    );
  }

  function sendVersion(peer: Peer, store: SnapshotStore, probe = false) {
    const snapshot = store.current();
    peer.sendNotice({
      topic: "version",
      snapshot: store.topic,
      version: snapshot?.version ?? 0,
      confirmedAtMs: store.confirmedAtMs(),
      ...(snapshot === undefined
        ? {}
        : { digest: snapshot.digest.slice(0, NOTICE_DIGEST_DIGITS) }),
      ...(probe ? { probe } : {}),
    });
  }

  function announce(store: SnapshotStore) {
    const version = store.current()?.version ?? 0;
    options
      .peers()
      .filter(
        (peer) => isGossipPartner(peer) && versionOf(peer, store) < version,
      )
      .forEach((peer) => sendVersion(peer, store));
  }

  function versionOf(peer: Peer, store: SnapshotStore): number {
    return getState(peer).versions.get(store.topic) ?? 0;
  }

  function recordVersion(peer: Peer, topic: Topic, version: number) {
    const { versions } = getState(peer);
    versions.set(topic, Math.max(version, versions.get(topic) ?? 0));
  }

  function isBehind(store: SnapshotStore, peer: Peer): boolean {
    return versionOf(peer, store) > store.knownVersion();
  }

  function backOff(peer: Peer, topic: Topic) {
    const { retryAtMs, failures } = getState(peer);
    const count = failures.get(topic) ?? 0;
    failures.set(topic, count + 1);
    const delayMs = Math.min(PULL_RETRY_MS * 2 ** count, MAX_PULL_RETRY_MS);
    retryAtMs.set(topic, clock.monotonicMs() + delayMs);
  }

  /** Picks a random peer with the newest version, if it is newer than ours. */
  function choosePeer(store: SnapshotStore): Peer | undefined {
    const nowMs = clock.monotonicMs();
    const ahead = options.peers().filter((peer) => {
      const retryAtMs = getState(peer).retryAtMs.get(store.topic) ?? 0;
      return !peer.isClosed() && retryAtMs <= nowMs && isBehind(store, peer);
    });
    const highest = Math.max(...ahead.map((peer) => versionOf(peer, store)));
    const best = ahead.filter((peer) => versionOf(peer, store) === highest);
    return best[Math.floor(Math.random() * best.length)];
  }

  /** Pulls until no reachable peer is known to have a newer version. */
  async function catchUp(store: SnapshotStore) {
    if (pulls.has(store.topic)) return;
    for (;;) {
      const peer = isClosed ? undefined : choosePeer(store);
      if (peer === undefined) return;
      await compare(peer, store);
    }
  }

  async function compare(
    peer: Peer,
    store: SnapshotStore,
  ): Promise<Comparison> {
    const comparison = pull(peer, store);
    pulls.set(store.topic, comparison);
    const result = await comparison;
    if (pulls.get(store.topic) === comparison) pulls.delete(store.topic);
    return result;
  }

  async function pull(peer: Peer, store: SnapshotStore): Promise<Comparison> {
    const { topic } = store;
    const { needsWhole, versions } = getState(peer);
    const pulled = await pullSnapshot(peer, store, {
      timeoutMs: PULL_TIMEOUT_MS,
      requestWhole: needsWhole.delete(topic),
    });
    if (pulled.isErr()) {
      const reason = pulled.error;
      pullFailures.increment({ topic, reason });
      backOff(peer, topic);
      if (reason === "bad_digest" || reason === "malformed") {
        needsWhole.add(topic);
      }
      if (reason === "bad_digest" || reason === "too_large") {
        store.reject(reason, { peer: peer.hello.host });
      }
      return "failed";
    }
    const { reply, bytes } = pulled.value;
    const { version, confirmedAtMs, publishedAtMs } = reply;
    recordVersion(peer, topic, version);
    if (bytes === undefined) {
      if (store.matchesDigest(version, reply.digest)) {
        store.confirm(version, confirmedAtMs);
      }
      // An announced version that the peer does not serve is not retried.
      versions.set(topic, version);
    } else {
      store.offer({ version, bytes, confirmedAtMs, publishedAtMs });
    }
    if (store.knownVersion() < version) backOff(peer, topic);
    else getState(peer).failures.delete(topic);
    return version === 0 || reply.waking ? "inconclusive" : "compared";
  }

  function probeNext() {
    stores.forEach((store) => void catchUp(store));
    const neighbours = options.neighbours();
    const peers = options
      .peers()
      .filter((peer) => neighbours.has(peer.hello.host));
    const peer = peers[probeCount++ % Math.max(1, peers.length)];
    if (peer === undefined) return;
    stores.forEach((store) => sendVersion(peer, store, true));
  }

  const probeTimer = setInterval(probeNext, PROBE_INTERVAL_MS);
  stores.forEach((store) => store.onChange(() => announce(store)));

  return {
    onPeer(peer) {
      recordVersion(peer, "config", peer.hello.configVersion);
      stores.forEach((store) => {
        if (store.current() !== undefined) sendVersion(peer, store);
        void catchUp(store);
      });
    },
    onNotice(peer, notice) {
      const store = stores.find(({ topic }) => topic === notice.snapshot);
      if (store === undefined) return;
      const { version, confirmedAtMs, digest, probe } = notice;
      if (probe) getState(peer).probedAtMs = clock.monotonicMs();
      recordVersion(peer, store.topic, version);
      const heldVersion = store.current()?.version ?? 0;
      if (digest === undefined || store.matchesDigest(version, digest)) {
        store.confirm(version, confirmedAtMs);
      }
      if (isBehind(store, peer)) void catchUp(store);
      const isPeerBehind = version < heldVersion;
      const isOlderConfirmation =
        version === heldVersion &&
        confirmedAtMs + MIN_CONFIRMATION_ADVANCE_MS < store.confirmedAtMs();
      if (isPeerBehind || (probe && isOlderConfirmation)) {
        sendVersion(peer, store);
      }
    },
    onSnapshotStream(stream) {
      const { head } = stream;
      const store = stores.find(
        ({ topic }) => head.kind === "snapshot" && topic === head.topic,
      );
      if (store === undefined) return stream.reset("unknown_topic");
      server.serve(stream, store).catch((error: unknown) => {
        logger.error({ err: error }, "Failed to serve a snapshot");
        stream.reset("internal_error");
      });
    },
    async compare(peer, topic) {
      const store = stores.find((other) => other.topic === topic)!;
      const result = await compare(peer, store);
      void catchUp(store);
      return result;
    },
    close() {
      isClosed = true;
      clearInterval(probeTimer);
    },
  };
}
