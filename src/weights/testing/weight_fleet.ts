/** Agents in one process for tests of weight transfer. */

import type { EnvironmentDocument, Links } from "../../document/mod.ts";
import type { FleetView, Host, HostList } from "../../membership/mod.ts";
import { createRegistry } from "../../metrics/mod.ts";
import type { Registry } from "../../metrics/mod.ts";
import type { Node } from "../../node/mod.ts";
import type { Peer, Stream } from "../../wire/mod.ts";
import { createStoreClient, createWeightDistributor } from "../mod.ts";
import type { WeightDistributor, WeightsPolicy } from "../mod.ts";
import { SERVICE, SILENT_LOGGER, startTestNode } from "./test_node.ts";

export interface TestAgent {
  readonly name: string;
  readonly dataCentre: string;
  readonly node: Node;
  readonly weights: WeightDistributor;
  readonly registry: Registry;
  /** Closes the listener and all connections, as if the process was killed. */
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
  /** Replaces the handler of chunk streams by a faulty one. */
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
    const weights = createWeightDistributor({
      node:
        onChunkStream === undefined
          ? node
          : {
              ...node,
              onStream: (kind) => node.onStream(kind, onChunkStream),
            },
      service: SERVICE,
      store: createStoreClient(options.storeUrl),
      memoryBytes: agentOptions.memoryBytes ?? options.memoryBytes,
      policy: options.policy ?? "swarm",
      registry,
      logger: SILENT_LOGGER,
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
    isRecoveringFromPause: () => false,
    addHost(host) {
      list = { sequence: list.sequence + 1, hosts: [...list.hosts, host] };
      handlers.forEach((handler) => handler());
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
