/**
 * Starts a small fleet of separate processes on loopback: platform, weight
 * store, entries, agents and their endpoints.
 */

import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { stringify } from "yaml";
import type { EngineOptions } from "../stand_ins/engine.ts";
import type { StoreProcessOptions } from "../stand_ins/main.ts";
import {
  ENDPOINT_PORT,
  endpointUrl,
  HTTP_PORT,
  LANGUAGE_SERVICE,
  peerAddress,
  processUrl,
} from "./fleet_hosts.ts";
import { MODEL, VERSIONS } from "./fleet_plan.ts";
import type { DocumentOptions, FleetPlan, PlannedHost } from "./fleet_plan.ts";
import { startProcess } from "./process_handle.ts";
import type { ProcessHandle } from "./process_handle.ts";

const POLL_MS = 25;

export type EngineProfile = Omit<EngineOptions, "address">;

export interface FleetOptions {
  readonly plan: FleetPlan;
  readonly engine: EngineProfile;
  readonly storeMbitPerS: number;
  readonly weightsPolicy: "swarm" | "store";
  readonly weightsMemoryBytes: number;
  readonly hostsLagMs: number;
  readonly ledgerWorkMs: number;
  /** Peer address in the host list; by default the bound address. */
  readonly listedPeerAddress?: (host: PlannedHost) => string;
  /** Settings that override the entries' defaults. */
  readonly entrySettings?: Readonly<Record<string, number>>;
  /** Folder of the compiled programs; by default the parent of this module's. */
  readonly programRoot?: string;
}

export interface Fleet {
  readonly plan: FleetPlan;
  readonly platformUrl: string;
  readonly storeUrl: string;
  processes(): ReadonlyMap<string, ProcessHandle>;
  /** Publishes a document; resolves when the platform has stored it. */
  publish(documentOptions: DocumentOptions): Promise<void>;
  /** Publishes the host list without the excluded hosts. */
  publishHosts(excludedHosts?: readonly string[]): Promise<void>;
  startAgent(hostName: string): void;
  startEntry(hostName: string): void;
  /**
   * Gives the host a new address and starts its endpoint and agent there. The
   * old processes keep running under the name "NAME@OLD-IP". The host list
   * changes at the next `publishHosts`.
   */
  replaceHost(hostName: string, ip: string): Promise<void>;
  /** The host with its current address. */
  findHost(hostName: string): PlannedHost;
  startEndpoint(hostName: string): Promise<void>;
  /** Waits until each of these hosts answers `/readyz` with 200. */
  waitUntilReady(
    hostNames: readonly string[],
    timeoutMs: number,
  ): Promise<void>;
  close(): Promise<void>;
}

export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const { plan } = options;
  const root =
    options.programRoot ?? join(dirname(fileURLToPath(import.meta.url)), "..");
  const folder = mkdtempSync(join(tmpdir(), "zinniaspur-"));
  const processes = new Map<string, ProcessHandle>();

  function startStandIn(name: string, [kind, json]: readonly unknown[]) {
    const handle = startProcess(name, [
      join(root, "stand_ins", "main.js"),
      String(kind),
      JSON.stringify(json),
    ]);
    processes.set(name, handle);
    return handle.firstLine.then(
      (line) => `http://${(JSON.parse(line) as { address: string }).address}`,
    );
  }

  const [platformUrl, storeUrl] = await Promise.all([
    startStandIn("platform", ["platform", { hostsLagMs: options.hostsLagMs }]),
    startStandIn("weight-store", [
      "weight_store",
      {
        mbitPerS: options.storeMbitPerS,
        model: MODEL,
        versions: VERSIONS,
        files: plan.files,
      } satisfies StoreProcessOptions,
    ]),
  ]);

  const replacements = new Map<string, PlannedHost>();
  const listHosts = () => plan.hosts.map((h) => replacements.get(h.name) ?? h);

  function findHost(name: string): PlannedHost {
    const found = listHosts().find((host) => host.name === name);
    if (found === undefined) throw new Error(`unknown host "${name}"`);
    return found;
  }

  function listedPeerAddress(host: PlannedHost): string {
    return options.listedPeerAddress?.(host) ?? peerAddress(host);
  }

  function startProgram(host: PlannedHost, extra: Record<string, unknown>) {
    const file = join(folder, `${host.name}.yaml`);
    writeFileSync(
      file,
      stringify({
        host: host.name,
        data_centre: host.dataCentre,
        http_address: `${host.ip}:${HTTP_PORT}`,
        peer_address: peerAddress(host),
        listed_peer_address: listedPeerAddress(host),
        platform_url: platformUrl,
        ...extra,
      }),
    );
    const name = host.role === "entry" ? "entry.js" : "agent.js";
    const program = join(root, "bin", name);
    processes.set(
      host.name,
      startProcess(host.name, [
        ...readNodeFlags(program),
        program,
        "--settings",
        file,
      ]),
    );
  }

  function startAgent(hostName: string) {
    const host = findHost(hostName);
    startProgram(host, {
      service: host.service,
      endpoint_url: endpointUrl(host),
      weight_store_url: storeUrl,
      weights_memory_bytes: options.weightsMemoryBytes,
      weights_policy: options.weightsPolicy,
    });
  }

  async function startEndpoint(hostName: string) {
    const host = findHost(hostName);
    const address = `${host.ip}:${ENDPOINT_PORT}`;
    const isEngine = host.service === LANGUAGE_SERVICE;
    await startStandIn(
      `endpoint-${hostName}`,
      isEngine
        ? ["engine", { ...options.engine, address }]
        : ["plain_service", { workMs: options.ledgerWorkMs, address }],
    );
  }

  function startEntry(hostName: string) {
    startProgram(findHost(hostName), { ...options.entrySettings });
  }

  async function replaceHost(hostName: string, ip: string) {
    const host = findHost(hostName);
    [hostName, `endpoint-${hostName}`].forEach((name) => {
      const handle = processes.get(name);
      if (handle !== undefined) processes.set(`${name}@${host.ip}`, handle);
    });
    replacements.set(hostName, { ...host, ip });
    await startEndpoint(hostName);
    startAgent(hostName);
  }

  async function publish(documentOptions: DocumentOptions) {
    await sendPut(
      `${platformUrl}/admin/config`,
      plan.createDocument(documentOptions),
    );
  }

  async function publishHosts(excludedHosts: readonly string[] = []) {
    const hosts = listHosts()
      .filter((host) => !excludedHosts.includes(host.name))
      .map((host) => ({
        name: host.name,
        role: host.role,
        service: host.service,
        data_centre: host.dataCentre,
        peer_address: listedPeerAddress(host),
        state: "live",
      }));
    await sendPut(`${platformUrl}/admin/hosts`, JSON.stringify(hosts));
  }

  async function closeAll() {
    await Promise.all([...processes.values()].map((p) => p.stop()));
    rmSync(folder, { recursive: true, force: true });
  }

  const endpoints = plan.hosts.filter((host) => host.role === "endpoint");
  await publishHosts();
  try {
    await Promise.all(endpoints.map((host) => startEndpoint(host.name)));
  } catch (error) {
    // Another fleet may use the same addresses. Stops all processes, so that
    // none of them keeps running.
    await closeAll();
    throw error;
  }
  endpoints.forEach((host) => startAgent(host.name));
  plan.hosts
    .filter((host) => host.role === "entry")
    .forEach((host) => startEntry(host.name));

  return {
    plan,
    platformUrl,
    storeUrl,
    processes: () => processes,
    publish,
    publishHosts,
    startAgent,
    startEntry,
    replaceHost,
    findHost,
    startEndpoint,
    async waitUntilReady(hostNames, timeoutMs) {
      const deadlineMs = performance.now() + timeoutMs;
      await Promise.all(
        hostNames.map((name) => waitForReady(findHost(name), deadlineMs)),
      );
    },
    close: closeAll,
  };
}

/** Node.js flags in the shebang line, which apply to an installed program. */
function readNodeFlags(program: string): readonly string[] {
  const firstLine = readFileSync(program, "utf8").split("\n", 1)[0]!;
  return firstLine.split(" ").filter((word) => word.startsWith("--"));
}

async function waitForReady(host: PlannedHost, deadlineMs: number) {
  while (!(await isReady(host))) {
    if (performance.now() > deadlineMs) {
      throw new Error(`${host.name} was not ready in time`);
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}

async function isReady(host: PlannedHost): Promise<boolean> {
  try {
    const { statusCode, body } = await request(`${processUrl(host)}/readyz`);
    await body.dump();
    return statusCode === 200;
  } catch {
    return false;
  }
}

async function sendPut(url: string, body: string) {
  const response = await request(url, { method: "PUT", body });
  await response.body.dump();
}
