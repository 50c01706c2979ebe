/** Chunks and endpoint state that each connected agent last reported. */

import type { HaveNotice, Notice, Peer, Phase } from "../wire/mod.ts";
import { countBits } from "./bitmap.ts";
import { MAX_CHUNKS } from "./manifest.ts";
import type { WeightCounters } from "./weight_counters.ts";
import type { WeightDistributorNode } from "./weight_distributor.ts";

export interface PeerHolding {
  readonly peer: Peer;
  readonly host: string;
  readonly dataCentre: string;
  readonly connectedAtMs: number;
  /** False until the first notice. */
  hasReported: boolean;
  /** Empty until the first notice, and while the agent wants no version. */
  manifestDigest: string;
  chunkCount: number;
  bitmap: Uint8Array;
  chunksHeld: number;
  sentBytes: number;
  servingDigest: string | undefined;
  phase: Phase;
  /** Last notice with more chunks than before, or with another version. */
  lastProgressAtMs: number;
}

export interface PeerHoldings {
  list(): readonly PeerHolding[];
  find(host: string): PeerHolding | undefined;
  /** Returns the string object that holdings with this digest share. */
  intern(digest: string): string;
  /** Time at which the connection to a currently unconnected host was lost. */
  disconnectedAtMs(host: string): number | undefined;
}

export interface PeerHoldingsOptions {
  readonly node: WeightDistributorNode;
  readonly counters: WeightCounters;
  readonly nowMs: () => number;
  readonly onPeer: (holding: PeerHolding) => void;
  readonly onChange: (holding: PeerHolding) => void;
}

const MAX_INTERNED_DIGESTS = 32;

const PHASES: ReadonlySet<unknown> = new Set<Phase>([
  "unknown",
  "down",
  "empty",
  "loading",
  "cold",
  "warm",
  "leaving",
]);

export function createPeerHoldings(options: PeerHoldingsOptions): PeerHoldings {
  const { node, counters, nowMs, onPeer, onChange } = options;
  const holdings = new Map<string, PeerHolding>();
  const disconnectedAt = new Map<string, number>();
  const digests = new Map<string, string>();

  /** Comparing a string object with itself does not read its characters. */
  function intern(digest: string): string {
    const found = digests.get(digest);
    if (found !== undefined) return found;
    if (digests.size >= MAX_INTERNED_DIGESTS) digests.clear();
    digests.set(digest, digest);
    return digest;
  }

  function add(peer: Peer) {
    const { role, host, dataCentre, incarnation } = peer.hello;
    const previous = holdings.get(host);
    if (role !== "agent" || peer.isClosed() || previous?.peer === peer) return;
    const isSameProcess = previous?.peer.hello.incarnation === incarnation;
    const holding: PeerHolding = {
      ...createEmptyHolding(nowMs()),
      // A new connection to the same process: its last report is still valid.
      ...(isSameProcess ? previous : {}),
      peer,
      host,
      dataCentre,
    };
    holdings.set(host, holding);
    disconnectedAt.delete(host);
    void peer.closed.then(() => {
      if (holdings.get(host) !== holding) return;
      const next = node.findPeer(host);
      if (next !== undefined && next !== peer && !next.isClosed()) {
        return add(next);
      }
      holdings.delete(host);
      disconnectedAt.set(host, nowMs());
      onChange(holding);
    });
    onPeer(holding);
  }

  function onNotice(peer: Peer, notice: Notice) {
    const { host, incarnation } = peer.hello;
    if (!holdings.has(host)) add(peer);
    const holding = holdings.get(host);
    // A duplicate connection that is being closed can still deliver notices.
    if (holding?.peer.hello.incarnation !== incarnation) return;
    if (!isHaveNotice(notice)) return counters.malformedNotices.increment();
    holding.hasReported = true;
    const chunksHeld = countBits(notice.bitmap);
    const isOtherVersion = holding.manifestDigest !== notice.manifestDigest;
    if (isOtherVersion || chunksHeld > holding.chunksHeld) {
      holding.lastProgressAtMs = nowMs();
    }
    holding.manifestDigest = intern(notice.manifestDigest);
    holding.chunkCount = notice.chunkCount;
    // A copy, because the bitmap may be a view that keeps a whole network
    // buffer alive.
    holding.bitmap = new Uint8Array(notice.bitmap);
    holding.chunksHeld = chunksHeld;
    holding.sentBytes = notice.sentBytes ?? 0;
    holding.servingDigest = notice.servingDigest;
    holding.phase = notice.phase;
    onChange(holding);
  }

  node.peers().forEach(add);
  node.onPeer(add);
  node.onNotice("have", onNotice);
  return {
    intern,
    list: () => [...holdings.values()],
    find: (host) => holdings.get(host),
    disconnectedAtMs: (host) => disconnectedAt.get(host),
  };
}

function createEmptyHolding(nowMs: number) {
  return {
    connectedAtMs: nowMs,
    hasReported: false,
    manifestDigest: "",
    chunkCount: 0,
    bitmap: new Uint8Array(0),
    chunksHeld: 0,
    sentBytes: 0,
    servingDigest: undefined,
    phase: "unknown" as const,
    lastProgressAtMs: nowMs,
  };
}

function isHaveNotice(value: unknown): value is HaveNotice {
  const notice = value as Partial<Record<keyof HaveNotice, unknown>>;
  const { chunkCount, bitmap, servingDigest, sentBytes } = notice;
  return (
    typeof notice.manifestDigest === "string" &&
    Number.isSafeInteger(chunkCount) &&
    (chunkCount as number) >= 0 &&
    (chunkCount as number) <= MAX_CHUNKS &&
    bitmap instanceof Uint8Array &&
    bitmap.length === Math.ceil((chunkCount as number) / 8) &&
    countBits(bitmap) <= (chunkCount as number) &&
    (servingDigest === undefined || typeof servingDigest === "string") &&
    (sentBytes === undefined || isNonNegativeNumber(sentBytes)) &&
    PHASES.has(notice.phase)
  );
}

function isNonNegativeNumber(value: unknown): boolean {
  return typeof value === "number" && value >= 0;
}
