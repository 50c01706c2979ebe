/**
 * Connects this process to the others on platforms that publish no host list:
 * entries to some other entries, agents to the entries that use their endpoint
 * and to the agents that they exchange weights with. The number of connections
 * of a process is bounded, whatever the size of the fleet.
 */

import type { Logger } from "../logging/mod.ts";
import { chooseNeighbours, choosePartnerEntries } from "../membership/mod.ts";
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
import type { Peer } from "../wire/mod.ts";
import { startMemberGossip } from "./member_gossip.ts";
import { createMemberList } from "./members.ts";
import type { MemberIdentity } from "./members.ts";
import { createSubscribers, createSubscriptions } from "./subscriptions.ts";

/** Up to this number, all entries are connected to each other. */
const MAX_FULL_MESH_ENTRIES = 16;
/** Connections to seeds that are not needed any more are closed after this. */
const UNWANTED_CLOSE_DELAY_MS = 5_000;

/** A connected entry that uses the endpoint of this agent. */
export interface PartnerPeer {
  readonly peer: Peer;
  readonly isLocal: boolean;
}

export interface Mesh extends WeightDistributorNode {
  /** Like `onNotice`, but also accepts topics that only the mesh carries. */
  readonly onMeshNotice: Handlers["onNotice"];
  /** Connected entries that use this agent's endpoint; none for an entry. */
  partners(): readonly PartnerPeer[];
  /** Number of entries that use this agent's endpoint, connected or not. */
  countPartners(): number;
  /** Agents that rely on this entry for news of the published state. */
  subscribers(): readonly Peer[];
  onSubscribe(handler: (peer: Peer) => void): void;
  /** True once the list of members is known to be more than a first part. */
  hasMemberList(): boolean;
  /** Other entries that are known. */
  listEntries(): readonly Host[];
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
  let chosenEntries: readonly Host[] = [];

  const view: FleetView = {
    config: options.readConfig,
    configConfirmedAtMs: () => 0,
    hosts: () => ({ sequence: 1, hosts: [...listEntries(), ...listAgents()] }),
    onChange: (handler) => void changeHandlers.push(handler),
    isRecoveringFromPause: () => false,
  };

  function listAgents(): readonly Host[] {
    return [self, ...members.list()]
      .filter(({ role }) => role === "agent")
      .map(createHost);
  }

  function listEntries(): readonly Host[] {
    return members
      .list()
      .filter(({ role }) => role === "entry")
      .map(createHost);
  }

  function chooseEntries(): readonly Host[] {
    const entries = listEntries();
    if (options.role === "agent") {
      return choosePartnerEntries(createHost(self), entries);
    }
    if (entries.length < MAX_FULL_MESH_ENTRIES) return entries;
    return chooseNeighbours(self, entries);
  }

  function updateDialTargets() {
    chosenEntries = chooseEntries();
    const chosen = peerChoosers.flatMap((choose) => choose(view));
    const wantedTargets: DialTarget[] = [...chosenEntries, ...chosen].map(
      ({ name, peerAddress }) => ({ host: name, address: peerAddress }),
    );
    // A seed that is a known member is dialled only if it is chosen, or if no
    // other process can be reached.
    const knownAddresses = new Set([
      self.peerAddress,
      ...wantedTargets.map(({ address }) => address),
      ...(connections.peers().length === 0
        ? []
        : members.list().map(({ peerAddress }) => peerAddress)),
    ]);
    const seedTargets = seeds
      .filter((address) => !knownAddresses.has(address))
      .map((address) => ({ address }));
    dialler.setTargets([...wantedTargets, ...seedTargets]);
  }

  function notifyViewChange() {
    updateDialTargets();
    subscriptions?.update();
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
    unwantedCloseDelayMs: UNWANTED_CLOSE_DELAY_MS,
  });
  const subscribers = createSubscribers(handlers);
  const subscriptions =
    options.role === "entry"
      ? undefined
      : createSubscriptions({
          dataCentre: self.dataCentre,
          listPartners: () => chosenEntries,
          findPeer: connections.find,
        });

  const gossip = startMemberGossip({
    selfHost: self.host,
    role: options.role,
    members,
    listPeers: connections.peers,
    listSubscribers: subscribers.list,
    handlers,
    onChange: notifyViewChange,
    logger,
    random: Math.random,
  });
  connections.onPeer((peer) => {
    const { host, incarnation } = peer.hello;
    logger.info({ peer: host, incarnation }, "connected to a peer");
    gossip.onPeer(peer);
    subscriptions?.update();
    void peer.closed.then((reason) => {
      logger.info({ peer: host, reason }, "lost the connection to a peer");
      subscriptions?.update();
      if (connections.peers().length === 0) updateDialTargets();
    });
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
    partners: () =>
      subscriptions === undefined
        ? []
        : chosenEntries.flatMap(({ name, dataCentre }) => {
            const peer = connections.find(name);
            const isLocal = dataCentre === self.dataCentre;
            return peer === undefined ? [] : [{ peer, isLocal }];
          }),
    countPartners: () =>
      subscriptions === undefined ? 0 : chosenEntries.length,
    subscribers: subscribers.list,
    onSubscribe: subscribers.onSubscribe,
    hasMemberList: gossip.hasList,
    listEntries,
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

function createHost(member: MemberIdentity): Host {
  return {
    name: member.host,
    role: member.role === "entry" ? "entry" : "endpoint",
    ...(member.service !== undefined && { service: member.service }),
    dataCentre: member.dataCentre,
    peerAddress: member.peerAddress,
    state: "live",
  };
}
