/** Node for tests with a real peer listener; the test sets the fleet view. */

import type { AcceptedConfig, HostList } from "../../membership/mod.ts";
import { createRegistry } from "../../metrics/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Node, NodeIdentity } from "../../node/mod.ts";
import { createWireCounters, listenForPeers } from "../../wire/mod.ts";
import type { Hello, Notice, Peer, Stream } from "../../wire/mod.ts";

export interface FakeNodeOptions {
  readonly identity: NodeIdentity;
  readonly config: AcceptedConfig | undefined;
  readonly confirmedAtMs: number;
  readonly logger: Logger;
  /** Called after each call that tests wait for. */
  readonly notify: () => void;
}

export type FakeNode = Awaited<ReturnType<typeof createFakeNode>>;

export async function createFakeNode(options: FakeNodeOptions) {
  const { identity, logger } = options;
  const registry = createRegistry();
  const peers = new Set<Peer>();
  const peerHandlers: ((peer: Peer) => void)[] = [];
  const streamHandlers = new Map<string, (p: Peer, s: Stream) => void>();
  const noticeHandlers = new Map<string, (p: Peer, n: Notice) => void>();
  const changeHandlers: (() => void)[] = [];
  let config: AcceptedConfig | undefined = options.config;
  let hosts: HostList = { sequence: 1, hosts: [] };
  let isRecovering = false;
  let isClockSkewed = false;
  let confirmedAtMs = options.confirmedAtMs;
  const fetchedVersions: number[] = [];
  const raisedFloors: number[] = [];
  let onFetch: (version: number) => void = () => undefined;

  function readHello(): Hello {
    return {
      protocolVersion: 1,
      role: "agent",
      host: identity.host,
      dataCentre: identity.dataCentre,
      incarnation: identity.incarnation,
      configVersion: config?.version ?? 0,
    };
  }

  function notifyChange() {
    changeHandlers.forEach((handler) => handler());
  }

  const listener = await listenForPeers("127.0.0.1:0", {
    hello: readHello,
    handlers: {
      onStream: (peer, stream) =>
        streamHandlers.get(stream.head.kind)?.(peer, stream),
      onNotice: (peer, notice) =>
        noticeHandlers.get(notice.topic)?.(peer, notice),
    },
    counters: createWireCounters(registry),
    onPeer(peer) {
      peers.add(peer);
      void peer.closed.then(() => peers.delete(peer));
      peerHandlers.forEach((handler) => handler(peer));
    },
  });

  const node: Node = {
    identity,
    registry,
    logger,
    peerAddress: listener.address,
    view: {
      config: () => config,
      configConfirmedAtMs: () => confirmedAtMs,
      hosts: () => hosts,
      onChange: (handler) => void changeHandlers.push(handler),
      isRecoveringFromPause: () => isRecovering,
    },
    peers: () => [...peers],
    findPeer: (name) => [...peers].find((peer) => peer.hello.host === name),
    onPeer: (handler) => void peerHandlers.push(handler),
    addPeerChooser: () => undefined,
    onStream: (kind, handler) => void streamHandlers.set(kind, handler),
    onNotice: (topic, handler) => void noticeHandlers.set(topic, handler),
    fetchConfig(_peer, version) {
      fetchedVersions.push(version);
      onFetch(version);
      return Promise.resolve();
    },
    isClockSkewed: () => isClockSkewed,
    raiseConfigFloor(version) {
      raisedFloors.push(version);
      options.notify();
    },
    close: () => listener.close(),
  };

  return {
    node,
    fetchedVersions,
    raisedFloors,
    setConfig(next: AcceptedConfig | undefined) {
      config = next;
      notifyChange();
    },
    setHosts(next: HostList) {
      hosts = next;
      notifyChange();
    },
    setRecovering(next: boolean) {
      isRecovering = next;
    },
    setClockSkewed(next: boolean) {
      isClockSkewed = next;
    },
    setConfirmedAtMs(next: number) {
      confirmedAtMs = next;
    },
    onFetch(handler: (version: number) => void) {
      onFetch = handler;
    },
  };
}
