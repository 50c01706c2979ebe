/**
 * Connects this process to the others on platforms that publish no host list:
 * entries to each other, agents to entries and to the agents that they exchange
 * weights with.
 */

import { rankByHash } from "../hashing/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { FleetView, Host } from "../membership/mod.ts";
import type { AcceptedConfig } from "../membership/mod.ts";
import type { Registry } from "../metrics/mod.ts";
import { createConnections } from "../node/connections.ts";
import { createDialler } from "../node/dialler.ts";
import type { DialTarget } from "../node/dialler.ts";
import { createHandlers } from "../node/handlers.ts";
import type { Handlers } from "../node/handlers.ts";
import { createUuidV7 } from "../uuid/mod.ts";
import type { WeightDistributorNode } from "../weights/mod.ts";
import {
  connectPeer,
  createWireCounters,
  listenForPeers,
  PROTOCOL_VERSION,
} from "../wire/mod.ts";
import { startMemberGossip } from "./member_gossip.ts";
import { createMemberList } from "./members.ts";
import type { MemberIdentity } from "./members.ts";

/**
 * An agent sends load notices to at most this many entries. The other entries
 * of a larger fleet learn its load from responses only.
 */
const ENTRIES_PER_AGENT = 32;

export interface Mesh extends WeightDistributorNode {
  /** Like `onNotice`, but also accepts topics that only the mesh carries. */
  readonly onMeshNotice: Handlers["onNotice"];
  /** Number of known entries, including this process if it is one. */
  countEntries(): number;
  /** Replaces the addresses used to discover the fleet. */
  setSeeds(seeds: readonly string[]): void;
  /** To be called after the published state has changed. */
  notifyViewChange(): void;
  close(): Promise<void>;
}

export interface MeshOptions {
  readonly host: string;
  readonly role: "entry" | "agent";
  readonly dataCentre: string;
  readonly service?: string | undefined;
  /** "IP:port" to listen on; peers connect to the same address. */
  readonly peerAddress: string;
  readonly seeds: readonly string[];
  /** Configuration of the view, which the weights module reads. */
  readonly readConfig: () => AcceptedConfig | undefined;
  readonly registry: Registry;
  readonly logger: Logger;
}

export async function startMesh(options: MeshOptions): Promise<Mesh> {
  const { registry, logger } = options;
  let { seeds } = options;
  const self: MemberIdentity = {
    host: options.host,
    role: options.role,
    dataCentre: options.dataCentre,
    ...(options.service !== undefined && { service: options.service }),
    peerAddress: options.peerAddress,
  };
  const startedAtMs = Date.now();
  const identity = {
    host: self.host,
    role: self.role,
    dataCentre: self.dataCentre,
    ...(options.service !== undefined && { service: options.service }),
    incarnation: createUuidV7(startedAtMs),
    startedAtMs,
  };
  const members = createMemberList(self, () => performance.now());
  const handlers = createHandlers(registry, logger);
  const connections = createConnections({ identity, logger });
  const peerChoosers: ((view: FleetView) => readonly Host[])[] = [];
  const changeHandlers: (() => void)[] = [];

  const view: FleetView = {
    config: options.readConfig,
    configConfirmedAtMs: () => 0,
    hosts: () => ({ sequence: 1, hosts: listAgents() }),
    onChange: (handler) => void changeHandlers.push(handler),
    isRecoveringFromPause: () => false,
  };

  function listAgents(): readonly Host[] {
    return [self, ...members.list()]
      .filter(({ role }) => role === "agent")
      .map((member) => ({
        name: member.host,
        role: "endpoint",
        ...(member.service !== undefined && { service: member.service }),
        dataCentre: member.dataCentre,
        peerAddress: member.peerAddress,
        state: "live",
      }));
  }

  function listEntries(): readonly MemberIdentity[] {
    return members.list().filter(({ role }) => role === "entry");
  }

  function chooseEntries(): readonly MemberIdentity[] {
    const entries = listEntries();
    if (options.role === "entry" || entries.length <= ENTRIES_PER_AGENT) {
      return entries;
    }
    const chosenHosts = new Set(
      rankByHash(
        self.host,
        entries.map(({ host }) => host),
      ).slice(0, ENTRIES_PER_AGENT),
    );
    return entries.filter(({ host }) => chosenHosts.has(host));
  }

  function updateDialTargets() {
    const chosen = peerChoosers.flatMap((choose) => choose(view));
    const wantedTargets: DialTarget[] = [
      ...chooseEntries().map(({ host, peerAddress }) => ({
        host,
        address: peerAddress,
      })),
      ...chosen.map(({ name, peerAddress }) => ({
        host: name,
        address: peerAddress,
      })),
    ];
    const knownAddresses = new Set([
      self.peerAddress,
      ...wantedTargets.map(({ address }) => address),
    ]);
    const seedTargets = seeds
      .filter((address) => !knownAddresses.has(address))
      .map((address) => ({ address }));
    dialler.setTargets([...wantedTargets, ...seedTargets]);
  }

  function notifyViewChange() {
    updateDialTargets();
    changeHandlers.forEach((handle) => handlers.run("view_change", handle));
  }

  const transport = {
    hello: () => ({
      protocolVersion: PROTOCOL_VERSION,
      role: identity.role,
      host: identity.host,
      dataCentre: identity.dataCentre,
      incarnation: identity.incarnation,
      ...(options.service !== undefined && { service: options.service }),
      configVersion: 0,
    }),
    counters: createWireCounters(registry),
    handlers: {
      onStream: handlers.dispatchStream,
      onNotice: handlers.dispatchNotice,
    },
  };
  const dialler = createDialler({
    connections,
    dial: (address) => connectPeer(address, transport),
    registry,
  });

  const gossip = startMemberGossip({
    selfHost: self.host,
    role: options.role,
    members,
    listPeers: connections.peers,
    handlers,
    onChange: notifyViewChange,
    logger,
    random: Math.random,
  });
  connections.onPeer((peer) => {
    const { host, incarnation } = peer.hello;
    logger.info({ peer: host, incarnation }, "connected to a peer");
    gossip.onPeer(peer);
    void peer.closed.then((reason) =>
      logger.info({ peer: host, reason }, "lost the connection to a peer"),
    );
  });
  const listener = await listenForPeers(self.peerAddress, {
    ...transport,
    onPeer: (peer) => connections.add(peer, { isDialled: false }),
  });
  updateDialTargets();
  return {
    identity,
    view,
    peers: connections.peers,
    findPeer: connections.find,
    onPeer: (handler) =>
      connections.onPeer(
        (peer) => void handlers.run("peer", () => handler(peer)),
      ),
    addPeerChooser(choose) {
      peerChoosers.push(choose);
      updateDialTargets();
    },
    onStream: handlers.onStream,
    onNotice: handlers.onNotice,
    onMeshNotice: handlers.onNotice,
    countEntries: () =>
      listEntries().length + (options.role === "entry" ? 1 : 0),
    setSeeds(next) {
      seeds = next;
      updateDialTargets();
    },
    notifyViewChange,
    async close() {
      gossip.close();
      dialler.close();
      connections.close();
      await listener.close();
    },
  };
}
