import { describe, expect, test } from "@jest/globals";
import { createRegistry } from "../metrics/mod.ts";
import type { Node } from "../node/mod.ts";
import type { HaveNotice, Notice, Peer } from "../wire/mod.ts";
import { createPeerHoldings } from "./peer_holdings.ts";
import { createWeightCounters } from "./weight_counters.ts";

const HOST = "assistant-1";
const NOTICE: HaveNotice = {
  topic: "have",
  manifestDigest: "sha256:m",
  chunkCount: 8,
  bitmap: Uint8Array.of(0xff),
  phase: "empty",
};

function createFakePeer() {
  let close: (reason: string) => void = () => undefined;
  const closed = new Promise<string>((resolve) => (close = resolve));
  const hello = { role: "agent", host: HOST, dataCentre: "kolkata" };
  const peer = { hello, closed, isClosed: () => false } as unknown as Peer;
  return { peer, close };
}

function createFakeNode(listed: () => Peer) {
  let onPeer: (peer: Peer) => void = () => undefined;
  let onNotice: (peer: Peer, notice: Notice) => void = () => undefined;
  const node = {
    peers: () => [],
    findPeer: listed,
    onPeer: (handler: typeof onPeer) => (onPeer = handler),
    onNotice: (_: string, handler: typeof onNotice) => (onNotice = handler),
  } as unknown as Node;
  return {
    node,
    announce: (peer: Peer) => onPeer(peer),
    notify: (peer: Peer) => onNotice(peer, NOTICE),
  };
}

describe("peer holdings", () => {
  // Guards against a transfer that never gets chunks from a complete host. When
  // two hosts dial each other, a late notice on the discarded connection must
  // not replace the connection that is kept.
  test("keep the listed connection when the duplicate one closes", async () => {
    const kept = createFakePeer();
    const discarded = createFakePeer();
    const { node, announce, notify } = createFakeNode(() => kept.peer);
    const holdings = createPeerHoldings({
      node,
      counters: createWeightCounters(createRegistry()),
      nowMs: () => 0,
      onPeer: () => undefined,
      onChange: () => undefined,
    });
    announce(discarded.peer);
    announce(kept.peer);
    notify(kept.peer);
    notify(discarded.peer);
    discarded.close("duplicate");
    await discarded.peer.closed;
    expect(holdings.find(HOST)?.peer).toBe(kept.peer);
    expect(holdings.find(HOST)?.chunksHeld).toBe(8);
  });
});
