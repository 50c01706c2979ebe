/** A minimal node for tests, with real peer connections on loopback. */

import type { Logger } from "../../logging/mod.ts";
import type { FleetView, Host } from "../../membership/mod.ts";
import type { Registry } from "../../metrics/mod.ts";
import type { Node } from "../../node/mod.ts";
import {
  connectPeer,
  createWireCounters,
  listenForPeers,
} from "../../wire/mod.ts";
import type { Hello, Notice, Peer, Stream } from "../../wire/mod.ts";

export const SERVICE = "assistant";

function ignore() {}

export const SILENT_LOGGER: Logger = {
  debug: ignore,
  info: ignore,
  warn: ignore,
  error: ignore,
  fatal: ignore,
} as unknown as Logger;

export async function startTestNode(options: {
  readonly name: string;
  readonly dataCentre: string;
  readonly view: FleetView;
  readonly registry: Registry;
}): Promise<Node> {
  const { name, dataCentre, view, registry } = options;
  const peers = new Map<string, Peer>();
  const dialling = new Set<string>();
  const peerHandlers: ((peer: Peer) => void)[] = [];
  const streamHandlers = new Map<
    string,
    (peer: Peer, stream: Stream) => void
  >();
  const noticeHandlers: ((peer: Peer, notice: Notice) => void)[] = [];
  const choosers: ((view: FleetView) => readonly Host[])[] = [];
  let isClosed = false;
  const transport = {
    hello: (): Hello => ({
      protocolVersion: 1,
      role: "agent",
      host: name,
      dataCentre,
      incarnation: name,
      service: SERVICE,
      configVersion: 1,
    }),
    handlers: {
      onStream: (peer: Peer, stream: Stream) =>
        streamHandlers.get(stream.head.kind)?.(peer, stream),
      onNotice: (peer: Peer, notice: Notice) =>
        noticeHandlers.forEach((handler) => handler(peer, notice)),
    },
    counters: createWireCounters(registry),
  };
  const listener = await listenForPeers("127.0.0.1:0", {
    ...transport,
    onPeer: addPeer,
  });

  function addPeer(peer: Peer) {
    if (isClosed) return peer.close("closing");
    const { host } = peer.hello;
    peers.set(host, peer);
    peerHandlers.forEach((handler) => handler(peer));
    void peer.closed.then(() => {
      if (peers.get(host) === peer) peers.delete(host);
    });
  }

  async function dial(host: Host) {
    // Only the host with the lesser name dials: one connection for each pair.
    const isNeeded = !peers.has(host.name) && !dialling.has(host.name);
    if (isClosed || host.name <= name || !isNeeded) return;
    dialling.add(host.name);
    const peer = await connectPeer(host.peerAddress, transport);
    dialling.delete(host.name);
    if (peer.isOk()) addPeer(peer.value);
  }

  function connectChosen() {
    choosers.forEach((choose) =>
      choose(view).forEach((host) => void dial(host)),
    );
  }

  view.onChange(connectChosen);
  return {
    identity: {
      host: name,
      role: "agent",
      dataCentre,
      service: SERVICE,
      incarnation: name,
      startedAtMs: Date.now(),
    },
    view,
    registry,
    logger: SILENT_LOGGER,
    peerAddress: listener.address,
    peers: () => [...peers.values()],
    findPeer: (host) => peers.get(host),
    onPeer: (handler) => void peerHandlers.push(handler),
    addPeerChooser(choose) {
      choosers.push(choose);
      connectChosen();
    },
    onStream: (kind, handler) => void streamHandlers.set(kind, handler),
    onNotice(topic, handler) {
      noticeHandlers.push((peer, notice) => {
        if (notice?.topic === topic) handler(peer, notice);
      });
    },
    fetchConfig: () => Promise.resolve(),
    isClockSkewed: () => false,
    raiseConfigFloor: ignore,
    async close() {
      isClosed = true;
      peers.forEach((peer) => peer.close("killed"));
      await listener.close();
    },
  };
}
