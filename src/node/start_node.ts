/**
 * Starts the base of the entry and the agent and wires its components: peer
 * connections, snapshots of the configuration and host list, platform reads.
 */

import type { Socket } from "node:net";
import type { Result } from "neverthrow";
import { formatFinding } from "../document/mod.ts";
import type { EnvironmentDocument, Finding } from "../document/mod.ts";
import type { Logger } from "../logging/mod.ts";
import {
  chooseNeighbours,
  chooseWatchers,
  parseHosts,
  SYSTEM_CLOCK,
} from "../membership/mod.ts";
import type { Clock, FleetView, Host, HostList } from "../membership/mod.ts";
import type { Registry } from "../metrics/mod.ts";
import { createPlatformClient } from "../platform/mod.ts";
import type { PlatformRead } from "../platform/mod.ts";
import { createGossip, createSnapshotStore } from "../snapshots/mod.ts";
import type { SnapshotStore } from "../snapshots/mod.ts";
import { createUuidV7 } from "../uuid/mod.ts";
import {
  connectPeer,
  createWireCounters,
  listenForPeers,
  PROTOCOL_VERSION,
} from "../wire/mod.ts";
import type { Hello, ReplacedNotice, VersionNotice } from "../wire/mod.ts";
import { createClockSkew } from "./clock_skew.ts";
import { createConfigFetcher } from "./config_fetcher.ts";
import { createConnections } from "./connections.ts";
import { createDialler } from "./dialler.ts";
import type { DialTarget } from "./dialler.ts";
import { createHandlers } from "./handlers.ts";
import type { Node, NodeIdentity } from "./node.ts";
import { createPlatformReader } from "./platform_reader.ts";
import { registerGauges } from "./register_gauges.ts";
import { createStartupVersionCheck } from "./startup_version_check.ts";
import { createPauseRecovery } from "./pause_recovery.ts";

const DEFAULT_START_JITTER_MS = 1_000;
const DEFAULT_CONFIRMATION_TIMEOUT_MS = 30_000;

export interface NodeOptions {
  readonly host: string;
  readonly role: "entry" | "agent";
  readonly dataCentre: string;
  readonly service?: string;
  /** Defaults to a new UUIDv7. */
  readonly incarnation?: string;
  /** "IP:port" to bind; port 0 picks a free one. */
  readonly peerAddress: string;
  /** "IP:port" for the host list; defaults to the bound address. */
  readonly listedPeerAddress?: string | undefined;
  readonly platformUrl: string;
  /** "IP:port" of processes to ask while no host list is available. */
  readonly seedPeers?: readonly string[];
  readonly registry: Registry;
  readonly logger: Logger;
  readonly parseDocument: (
    text: string,
  ) => Result<EnvironmentDocument, readonly Finding[]>;
  readonly clock?: Clock;
  /** Upper bound of the random delay before the first read; 1 s by default. */
  readonly startJitterMs?: number;
  /**
   * A process without a confirmation for this time reads the platform; 30 s by
   * default.
   */
  readonly confirmationTimeoutMs?: number;
  /** Time for which the platform holds a watch open; 10 s by default. */
  readonly watchWaitMs?: number;
  readonly openSocket?: (address: string, port: number) => Socket;
}

/**
 * Resolves when the peer listener is bound; the view may still be empty.
 * Rejects if the listener cannot be bound or the platform's URL is malformed.
 */
export async function startNode(options: NodeOptions): Promise<Node> {
  const { registry, logger, parseDocument } = options;
  const clock = options.clock ?? SYSTEM_CLOCK;
  const startedAtMs = clock.wallMs();
  const identity: NodeIdentity = {
    host: options.host,
    role: options.role,
    dataCentre: options.dataCentre,
    ...(options.service === undefined ? {} : { service: options.service }),
    incarnation: options.incarnation ?? createUuidV7(startedAtMs),
    startedAtMs,
  };
  const storeOptions = { clock, registry, logger };
  let lastFindings: readonly Finding[] = [];
  const config = createSnapshotStore("config", {
    ...storeOptions,
    parse: (text) =>
      parseDocument(text).mapErr((findings) => {
        lastFindings = findings;
        return findings.map(formatFinding);
      }),
  });
  const hosts = createSnapshotStore("hosts", {
    ...storeOptions,
    parse: parseHosts,
  });
  hosts.activate();

  const changeHandlers: (() => void)[] = [];
  const peerChoosers: ((view: FleetView) => readonly Host[])[] = [];
  const handlers = createHandlers(registry, logger);
  const connections = createConnections({ identity, logger });
  const clockSkew = createClockSkew({
    peers: connections.peers,
    registry,
    logger,
  });
  let neighbours: readonly Host[] = [];
  let neighbourNames: ReadonlySet<string> = new Set();
  let wantedTargets: readonly DialTarget[] = [];
  let isWatching = false;
  let peerAddress = options.peerAddress;

  const platform = createPlatformClient({
    platformUrl: options.platformUrl,
    registry,
  });
  const pauseRecovery = createPauseRecovery({
    clock,
    registry,
    logger,
    peers: connections.peers,
    compare: (peer) => {
      void gossip.compare(peer, "hosts");
      return gossip.compare(peer, "config");
    },
    readPlatform: () => {
      void hostsReader.readNow();
      return configReader.readNow();
    },
  });
  const gossip = createGossip({
    stores: [config, hosts],
    peers: connections.peers,
    neighbours: () => neighbourNames,
    isRecoveringFromPause: pauseRecovery.isRecovering,
    clock,
    registry,
    logger,
  });
  const fetchConfig = createConfigFetcher({
    knownVersion: config.knownVersion,
    pull: (peer) => gossip.compare(peer, "config"),
  });
  handlers.onStream("snapshot", (_, stream) => gossip.onSnapshotStream(stream));
  handlers.onNotice("version", (peer, notice) =>
    gossip.onNotice(peer, notice as VersionNotice),
  );
  handlers.onNotice("replaced", (_, notice) => {
    const { host, incarnation } = notice as ReplacedNotice;
    connections.checkIncarnation(host, incarnation);
  });
  const configReader = createReader(config, platform.readConfig);
  const hostsReader = createReader(hosts, platform.readHosts);
  const readers = [configReader, hostsReader];
  const startupVersionCheck = createStartupVersionCheck({
    store: config,
    isFirstPlatformReadDone: () =>
      readers.every((reader) => reader.isFirstReadDone()),
    countOtherHosts,
    compare: (peer) => gossip.compare(peer, "config"),
  });

  let hostList: HostList = { sequence: 0, hosts: [] };
  const view: FleetView = {
    config() {
      const snapshot = config.current();
      if (snapshot === undefined) return;
      const { version, publishedAtMs, value } = snapshot;
      return { version, publishedAtMs, document: value };
    },
    configConfirmedAtMs: config.confirmedAtMs,
    rejectedConfig() {
      const version = config.invalidVersion();
      const isNewest = version > (config.held()?.version ?? 0);
      return isNewest ? { version, findings: lastFindings } : undefined;
    },
    hosts: () => hostList,
    onChange: (handler) => void changeHandlers.push(handler),
    isRecoveringFromPause: pauseRecovery.isRecovering,
  };

  function createReader(store: SnapshotStore, read: PlatformRead) {
    return createPlatformReader({
      store,
      read,
      isWatcher: () => isWatching,
      onFirstRead: () => startupVersionCheck.update(),
      clock,
      startJitterMs: options.startJitterMs ?? DEFAULT_START_JITTER_MS,
      confirmationTimeoutMs:
        options.confirmationTimeoutMs ?? DEFAULT_CONFIRMATION_TIMEOUT_MS,
      watchWaitMs: options.watchWaitMs,
    });
  }

  function listOtherHosts(): readonly Host[] {
    return hostList.hosts.filter(({ name }) => name !== identity.host);
  }

  function countOtherHosts(): number {
    // Without a host list the number of other hosts is unknown.
    if (hostList.sequence === 0) return Infinity;
    const seeds = options.seedPeers ?? [];
    return Math.max(listOtherHosts().length, seeds.length);
  }

  function listSeedTargets(hostTargets: readonly DialTarget[]) {
    // Seeds serve only to join the fleet and to compare versions at the start.
    if (config.isActive() && connections.peers().length > 0) return [];
    const known = new Set([peerAddress, ...hostTargets.map((t) => t.address)]);
    return (options.seedPeers ?? [])
      .filter((address) => !known.has(address))
      .map((address) => ({ address }));
  }

  /** Runs all peer choosers, which can be slow with thousands of hosts. */
  function updateWantedTargets() {
    const chosen: Host[] = [];
    peerChoosers.forEach((choose) =>
      handlers.run("peer_chooser", () => void chosen.push(...choose(view))),
    );
    wantedTargets = [...neighbours, ...chosen]
      .filter(({ name }) => name !== identity.host)
      .map(({ name, peerAddress: address }) => ({ host: name, address }));
    updateDialTargets();
  }

  function updateDialTargets() {
    dialler.setTargets([...wantedTargets, ...listSeedTargets(wantedTargets)]);
  }

  function notifyChange() {
    changeHandlers.forEach((handle) => handlers.run("view_change", handle));
  }

  function onHostsChange() {
    const snapshot = hosts.current();
    if (snapshot === undefined) return;
    hostList = { sequence: snapshot.version, hosts: snapshot.value };
    neighbours = chooseNeighbours(identity, hostList.hosts);
    neighbourNames = new Set(neighbours.map(({ name }) => name));
    isWatching = chooseWatchers(identity, hostList.hosts).includes(
      identity.host,
    );
    readers.forEach((reader) => reader.update());
    startupVersionCheck.update();
    updateWantedTargets();
    notifyChange();
  }

  function createHello(): Hello {
    return {
      protocolVersion: PROTOCOL_VERSION,
      role: identity.role,
      host: identity.host,
      dataCentre: identity.dataCentre,
      incarnation: identity.incarnation,
      ...(identity.service === undefined ? {} : { service: identity.service }),
      configVersion: config.current()?.version ?? 0,
    };
  }

  const transport = {
    hello: createHello,
    counters: createWireCounters(registry),
    wallMs: clock.wallMs,
    handlers: {
      onStream: handlers.dispatchStream,
      onNotice: handlers.dispatchNotice,
    },
    ...(options.openSocket === undefined
      ? {}
      : { openSocket: options.openSocket }),
  };

  const dialler = createDialler({
    connections,
    dial: (address) => connectPeer(address, transport),
    registry,
  });

  connections.onPeer((peer) => {
    startupVersionCheck.onPeer(peer);
    gossip.onPeer(peer);
    updateDialTargets();
    void peer.closed.then(updateDialTargets);
  });
  hosts.onChange(onHostsChange);
  config.onChange(() => {
    updateWantedTargets();
    notifyChange();
  });
  registerGauges(registry, {
    config,
    clock,
    startedAtMs,
    countPeers: () => connections.peers().length,
    isWatching: () => isWatching,
  });

  const listener = await listenForPeers(options.peerAddress, {
    ...transport,
    onPeer: (peer) => connections.add(peer, { isDialled: false }),
  }).catch(async (error: unknown) => {
    await closeComponents();
    throw error;
  });
  peerAddress = options.listedPeerAddress ?? listener.address;
  updateDialTargets();

  async function closeComponents() {
    readers.forEach((reader) => reader.close());
    startupVersionCheck.close();
    pauseRecovery.close();
    gossip.close();
    dialler.close();
    connections.close();
    await platform.close();
  }

  return {
    identity,
    view,
    registry,
    logger,
    peerAddress,
    peers: connections.peers,
    findPeer: connections.find,
    onPeer: (handler) =>
      connections.onPeer(
        (peer) => void handlers.run("peer", () => handler(peer)),
      ),
    addPeerChooser(choose) {
      peerChoosers.push(choose);
      updateWantedTargets();
    },
    onStream: handlers.onStream,
    onNotice: handlers.onNotice,
    fetchConfig,
    isClockSkewed: clockSkew.isTooLarge,
    raiseConfigFloor(version) {
      const formerVersion = config.current()?.version;
      config.raiseFloor(version);
      if (config.current()?.version !== formerVersion) notifyChange();
    },
    onReplaced: connections.onReplaced,
    async close() {
      await closeComponents();
      await listener.close();
    },
  };
}
