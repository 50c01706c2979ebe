/** Starts several nodes with one fake platform in one process. */

import { connect } from "node:net";
import type { Socket } from "node:net";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { EnvironmentDocument, Finding } from "../../document/mod.ts";
import type { Logger } from "../../logging/mod.ts";
import type { Host } from "../../membership/mod.ts";
import { createRegistry } from "../../metrics/mod.ts";
import type { Node } from "../node.ts";
import { startNode } from "../start_node.ts";
import type { NodeOptions } from "../start_node.ts";
import { startFakePlatform } from "./fake_platform.ts";
import type { FakePlatform } from "./fake_platform.ts";

export const SILENT_LOGGER: Logger = {
  debug: doNothing,
  info: doNothing,
  warn: doNothing,
  error: doNothing,
  fatal: doNothing,
} as unknown as Logger;

/** No process listens on this port, so connecting to it fails at once. */
const CLOSED_PORT = 1;

export interface Fleet {
  readonly platform: FakePlatform;
  readonly nodes: readonly Node[];
  /** Starts one more host and adds it to the platform's list. */
  add(name: string, options?: Partial<NodeOptions>): Promise<Node>;
  /** Closes the connections between the groups and refuses new ones. */
  partition(...groups: readonly (readonly string[])[]): void;
  heal(): void;
  close(): Promise<void>;
}

export interface FleetOptions {
  readonly names: readonly string[];
  readonly dataCentreOf?: (name: string) => string;
  readonly nodeOptions?: Partial<NodeOptions>;
}

export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const platform = await startFakePlatform();
  const dataCentreOf = options.dataCentreOf ?? (() => "d1");
  const nodes: Node[] = [];
  const sockets = new Set<{ from: string; port: number; socket: Socket }>();
  let groups: readonly (readonly string[])[] = [];

  function isPartitioned(from: string, port: number): boolean {
    const to = nodes.find((node) => node.peerAddress.endsWith(`:${port}`));
    const group = groups.find((names) => names.includes(from));
    return group !== undefined && !group.includes(to?.identity.host ?? "");
  }

  function openSocketFrom(from: string) {
    return (host: string, port: number) => {
      const target = isPartitioned(from, port) ? CLOSED_PORT : port;
      const entry = { from, port, socket: connect({ host, port: target }) };
      sockets.add(entry);
      entry.socket.on("close", () => sockets.delete(entry));
      return entry.socket;
    };
  }

  async function start(name: string, overrides: Partial<NodeOptions> = {}) {
    const node = await startNode({
      host: name,
      role: "agent",
      dataCentre: dataCentreOf(name),
      peerAddress: "127.0.0.1:0",
      platformUrl: platform.url,
      registry: createRegistry(),
      logger: SILENT_LOGGER,
      parseDocument: parseFakeDocument,
      startJitterMs: 0,
      openSocket: openSocketFrom(name),
      ...options.nodeOptions,
      ...overrides,
    });
    nodes.push(node);
    return node;
  }

  function publishHosts() {
    platform.setHosts(nodes.map(toHost));
  }

  for (const name of options.names) await start(name);
  publishHosts();

  return {
    platform,
    nodes,
    async add(name, overrides) {
      const node = await start(name, overrides);
      publishHosts();
      return node;
    },
    partition(...next) {
      groups = next;
      [...sockets]
        .filter(({ from, port }) => isPartitioned(from, port))
        .forEach(({ socket }) => socket.destroy());
    },
    heal() {
      groups = [];
    },
    async close() {
      await Promise.all(nodes.map((node) => node.close()));
      await platform.close();
    },
  };
}

export function toHost(node: Node): Host {
  return {
    name: node.identity.host,
    role: "endpoint",
    service: "assistant",
    dataCentre: node.identity.dataCentre,
    peerAddress: node.peerAddress,
    state: "live",
  };
}

/** Accepts any text but one that starts with "invalid". */
export function parseFakeDocument(
  text: string,
): Result<EnvironmentDocument, readonly Finding[]> {
  if (text.startsWith("invalid")) {
    return err([
      {
        file: "config",
        line: 1,
        column: 1,
        path: "environment",
        message: "Not a document",
        fix: "Write one",
      },
    ]);
  }
  return ok({
    environment: text,
    deployment: "",
    regions: [],
    dataCentres: [],
    links: { hostMbitPerS: 1, storeMbitPerS: 1, regionMbitPerS: 1 },
    models: [],
    services: [],
    clientAccounts: [],
  });
}

/** Resolves once `isTrue` holds; checks in each iteration of the event loop. */
export async function waitUntil(
  isTrue: () => boolean,
  limitMs = 20_000,
): Promise<number> {
  const startedAtMs = performance.now();
  while (!isTrue()) {
    if (performance.now() - startedAtMs > limitMs) {
      throw new Error(`Condition not met within ${limitMs} ms: ${isTrue}`);
    }
    await new Promise((resolve) => setImmediate(resolve));
  }
  return performance.now() - startedAtMs;
}

function doNothing() {}
