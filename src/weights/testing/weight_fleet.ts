/**
 * Agents in one process for tests of weight transfer: real peer connections
 * on loopback, a small node instead of the product's, and a rate-limited store
 * whose answers a test can replace.
 */

import { createHash } from "node:crypto";
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { EnvironmentDocument, Links } from "../../document/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { FleetView, Host, HostList } from "../../membership/mod.ts";
import { createRegistry } from "../../metrics/mod.ts";
import type { Registry } from "../../metrics/mod.ts";
import type { Node } from "../../node/mod.ts";
import { createWeights } from "../mod.ts";
import type { Weights, WeightsPolicy } from "../mod.ts";
import {
  connectPeer,
  createWireCounters,
  listenForPeers,
} from "../../wire/mod.ts";
import type { Hello, Notice, Peer, Stream } from "../../wire/mod.ts";

export interface TestModel {
  readonly manifestDigest: string;
  readonly sizeBytes: number;
  readonly manifest: Buffer;
  readonly chunks: ReadonlyMap<string, Buffer>;
}

export function digestOf(bytes: Uint8Array): string {
  return `sha256:${createHash("sha256").update(bytes).digest("hex")}`;
}

export function createTestModel(
  chunkCount: number,
  chunkBytes: number,
  seed = 1,
): TestModel {
  const chunks = Array.from({ length: chunkCount }, (_, index) => {
    const bytes = Buffer.alloc(chunkBytes, `${seed}/${index};`);
    return { digest: digestOf(bytes), bytes };
  });
  const manifest = Buffer.from(
    JSON.stringify({
      model: "m",
      version: String(seed),
      size_bytes: chunkCount * chunkBytes,
      chunks: chunks.map(({ digest }) => ({ digest, size_bytes: chunkBytes })),
    }),
  );
  return {
    manifestDigest: digestOf(manifest),
    sizeBytes: chunkCount * chunkBytes,
    manifest,
    chunks: new Map(chunks.map(({ digest, bytes }) => [digest, bytes])),
  };
}

export interface TestStore {
  readonly url: string;
  readonly sentBytes: () => number;
  /** Requests by digest. */
  readonly requests: ReadonlyMap<string, number>;
  close(): Promise<void>;
}

export interface TestStoreOptions {
  readonly models: readonly TestModel[];
  readonly bytesPerS: number;
  /** Answers instead of the store if it returns true. */
  readonly intercept?: (
    request: IncomingMessage,
    response: ServerResponse,
  ) => boolean;
}

const STORE_PIECE_BYTES = 16 * 1024;

export async function startTestStore(
  options: TestStoreOptions,
): Promise<TestStore> {
  const requests = new Map<string, number>();
  let sentBytes = 0;
  let freeAtMs = 0;
  const server = createServer((request, response) => {
    void answer(request, response);
  });

  async function answer(request: IncomingMessage, response: ServerResponse) {
    const digest = decodeURIComponent(request.url!.split("/").at(-1)!);
    requests.set(digest, (requests.get(digest) ?? 0) + 1);
    if (options.intercept?.(request, response)) return;
    const bytes = options.models
      .map((model) =>
        model.manifestDigest === digest
          ? model.manifest
          : model.chunks.get(digest),
      )
      .find((found) => found !== undefined);
    if (bytes === undefined) return response.writeHead(404).end();
    response.writeHead(200, { "content-length": bytes.length });
    // Pieces of all responses take turns on one link.
    for (let at = 0; at < bytes.length; at += STORE_PIECE_BYTES) {
      const piece = bytes.subarray(at, at + STORE_PIECE_BYTES);
      const now = performance.now();
      freeAtMs =
        Math.max(now, freeAtMs) + (piece.length / options.bytesPerS) * 1000;
      await new Promise((resolve) => setTimeout(resolve, freeAtMs - now));
      if (response.destroyed) return;
      response.write(piece);
      sentBytes += piece.length;
    }
    response.end();
  }

  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    sentBytes: () => sentBytes,
    requests,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}

export interface TestAgent {
  readonly name: string;
  readonly dataCentre: string;
  readonly node: Node;
  readonly weights: Weights;
  readonly registry: Registry;
  /** Closes the listener and all connections, as a killed process would. */
  kill(): Promise<void>;
}

export interface TestFleet {
  readonly agents: readonly TestAgent[];
  addAgent(dataCentre: string, options?: AgentOptions): Promise<TestAgent>;
  close(): Promise<void>;
}

export interface AgentOptions {
  readonly name?: string;
  readonly memoryBytes?: number;
  /** Replaces the product's chunk handling by a faulty one. */
  readonly onChunkStream?: (peer: Peer, stream: Stream) => void;
}

export interface TestFleetOptions {
  readonly storeUrl: string;
  readonly policy?: WeightsPolicy;
  readonly links: Links;
  /** Region of each data centre. */
  readonly regions: Readonly<Record<string, string>>;
  readonly memoryBytes: number;
}

const SERVICE = "assistant";

export function createTestFleet(options: TestFleetOptions): TestFleet {
  const agents: TestAgent[] = [];
  const view = createTestView(options);
  let created = 0;

  async function addAgent(dataCentre: string, agentOptions: AgentOptions = {}) {
    const name = agentOptions.name ?? `h${String(created).padStart(3, "0")}`;
    created += 1;
    const registry = createRegistry();
    const node = await startTestNode({ name, dataCentre, view, registry });
    const { onChunkStream } = agentOptions;
    const weights = createWeights({
      node:
        onChunkStream === undefined
          ? node
          : {
              ...node,
              onStream: (kind) => node.onStream(kind, onChunkStream),
            },
      service: SERVICE,
      storeUrl: options.storeUrl,
      memoryBytes: agentOptions.memoryBytes ?? options.memoryBytes,
      policy: options.policy ?? "swarm",
      registry,
      logger: SILENT,
    });
    const agent: TestAgent = {
      name,
      dataCentre,
      node,
      weights,
      registry,
      async kill() {
        await weights.close();
        await node.close();
      },
    };
    agents.push(agent);
    view.addHost({
      name,
      role: "endpoint",
      service: SERVICE,
      dataCentre,
      peerAddress: node.peerAddress,
      state: "live",
    });
    return agent;
  }

  return {
    agents,
    addAgent,
    async close() {
      await Promise.all(agents.map((agent) => agent.kill()));
    },
  };
}

function ignore() {}

const SILENT: Logger = {
  debug: ignore,
  info: ignore,
  warn: ignore,
  error: ignore,
  fatal: ignore,
} as unknown as Logger;

interface TestView extends FleetView {
  addHost(host: Host): void;
}

function createTestView(options: TestFleetOptions): TestView {
  const handlers: (() => void)[] = [];
  let list: HostList = { sequence: 1, hosts: [] };
  const document: EnvironmentDocument = {
    environment: "test",
    deployment: "test",
    regions: [...new Set(Object.values(options.regions))].map((name) => ({
      name,
    })),
    dataCentres: Object.entries(options.regions).map(([name, region]) => ({
      name,
      region,
      out: false,
    })),
    links: options.links,
    models: [{ name: "m", versions: [], servingVersion: "1" }],
    services: [
      {
        kind: "language",
        name: SERVICE,
        model: "m",
        admission: { coldConcurrency: 1, warmConcurrency: 1, maxQueued: 1 },
      },
    ],
    clientAccounts: [],
  };
  return {
    config: () => ({ version: 1, document, publishedAtMs: 0 }),
    configConfirmedAtMs: () => Date.now(),
    hosts: () => list,
    onChange: (handler) => void handlers.push(handler),
    isWaking: () => false,
    addHost(host) {
      list = { sequence: list.sequence + 1, hosts: [...list.hosts, host] };
      handlers.forEach((handler) => handler());
    },
  };
}

async function startTestNode(options: {
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
    // Only one side dials, so there is one connection for each pair.
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
    logger: SILENT,
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

/** Resolves when the agent holds the whole version. */
export function waitForVersion(
  agent: TestAgent,
  manifestDigest: string,
): Promise<void> {
  return new Promise((resolve) => {
    agent.weights.onComplete((digest) => {
      if (digest === manifestDigest) resolve();
    });
    if (agent.weights.progress(manifestDigest).isComplete) resolve();
  });
}
