/**
 * Runs real gateways and sidecars as separate processes on loopback addresses,
 * with stand-ins for the users' platform.
 */

import { spawn } from "node:child_process";
import type { ChildProcess } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { stringify } from "yaml";
import { findFreePorts } from "../free_ports.ts";
import { startSilentRelay } from "../silent_relay.ts";
import type { SilentRelay } from "../silent_relay.ts";
import { startMetadataStore } from "./metadata_store.ts";
import type { ModelSpec } from "./model_weights.ts";
import { startOrigin } from "./origin.ts";
import { startWorker } from "./worker.ts";
import type { WorkerOptions, WorkerStandIn } from "./worker.ts";

const MODEL: ModelSpec = { name: "m1", chunkCount: 16, chunkBytes: 4_096 };
const SERVICE = "pool";
const DEFAULT_OBJECTIVE_MS = 800;
const DEFAULT_GRACE_S = 8;
/** No process listens at this address. */
const UNREACHABLE_ADDRESS = "127.0.0.1:1";
const REGIONS = {
  "kol-a": "kolkata",
  "sil-a": "siliguri",
  "bdn-a": "bardhaman",
};

/** API key of the client account in the first configuration. */
export const FIRST_KEY = "key-1";

export interface FleetProcess {
  readonly program: "gateway" | "sidecar";
  readonly child: ChildProcess;
  logs(): string;
}

export interface GatewayProcess {
  readonly callerUrl: string;
  readonly readyUrl: string;
  readonly process: ChildProcess;
  logs(): string;
}

export async function startPlatformFleet(options: {
  readonly gateways: number;
  /** Weight version that each worker starts with; undefined for none. */
  readonly workers: readonly (number | undefined)[];
  readonly nodeArgs?: readonly string[];
  readonly versionMs?: number;
  /** Time from SIGTERM to SIGKILL, of which the processes are told. */
  readonly graceS?: number;
  /** Options of every worker. */
  readonly worker?: Partial<WorkerOptions>;
  /** Called after a worker's last staged chunk has been read. */
  readonly onStagedRead?: (index: number) => void;
  readonly objectiveMs?: number;
  /** Data centres of the gateways, in turn. */
  readonly gatewayDataCentres?: readonly string[];
  /** Indexes of the gateways that cannot reach the store. */
  readonly gatewaysWithoutStore?: readonly number[];
  /** True for a relay between each gateway and the store. */
  readonly hasStoreRelays?: boolean;
}) {
  const store = await startMetadataStore();
  const origin = await startOrigin(MODEL);
  const directory = await mkdtemp(join(tmpdir(), "zinniaspur-"));
  const processes: FleetProcess[] = [];
  const sidecars: {
    process: FleetProcess;
    readonly startSidecar: () => Promise<FleetProcess>;
  }[] = [];
  const dataCentres = options.gatewayDataCentres ?? ["kol-a"];
  const storeRelays: readonly SilentRelay[] = options.hasStoreRelays
    ? await Promise.all(
        Array.from({ length: options.gateways }, () =>
          startSilentRelay(store.address),
        ),
      )
    : [];
  const versionMs = options.versionMs ?? 2_000;
  const gatewayPorts = await findFreePorts(options.gateways * 4);
  const seeds = gatewayPorts
    .filter((_, index) => index % 4 === 2)
    .slice(0, 3)
    .map((port) => `127.0.0.1:${port}`);

  async function startProgram(
    program: FleetProcess["program"],
    name: string,
    settings: object,
  ) {
    const file = join(directory, `${name}.yaml`);
    await writeFile(file, stringify(settings));
    const child = spawn(
      process.execPath,
      [
        ...(options.nodeArgs ?? []),
        `dist/bin/${program}.js`,
        "--settings",
        file,
      ],
      { stdio: ["ignore", "pipe", "inherit"] },
    );
    let logs = "";
    child.stdout!.on("data", (bytes: Buffer) => (logs += bytes.toString()));
    const started = { program, child, logs: () => logs };
    processes.push(started);
    return started;
  }

  async function startGateway(index: number): Promise<GatewayProcess> {
    const [caller, ready, peer, metrics] = gatewayPorts.slice(index * 4);
    const { child, logs } = await startProgram("gateway", `entry-${index}`, {
      host: `entry-${index}`,
      data_centre: dataCentres[index % dataCentres.length],
      caller_address: `127.0.0.1:${caller}`,
      ready_address: `127.0.0.1:${ready}`,
      peer_address: `127.0.0.1:${peer}`,
      metrics_address: `127.0.0.1:${metrics}`,
      store_address: options.gatewaysWithoutStore?.includes(index)
        ? UNREACHABLE_ADDRESS
        : (storeRelays[index]?.address ?? store.address),
      seeds,
      regions: REGIONS,
      bounds: {
        revoke_ms: 5_000,
        is_revocation_strict: true,
        budget_ratio: 0.2,
        budget_window_s: 10,
        budget_extra: 100,
        cold_overage: 1.5,
        cold_slack: 5,
        version_ms: versionMs,
        grace_s: options.graceS ?? DEFAULT_GRACE_S,
      },
    });
    return {
      callerUrl: `http://127.0.0.1:${caller}`,
      readyUrl: `http://127.0.0.1:${ready}/-/readiness`,
      process: child,
      logs,
    };
  }

  async function startWorkerWithSidecar(
    index: number,
    version: number | undefined,
  ): Promise<WorkerStandIn> {
    const worker = await startWorker({
      ...options.worker,
      onStagedRead: () => options.onStagedRead?.(index),
      id: `w${index}`,
      model: MODEL,
      version,
    });
    const [peer, metrics] = await findFreePorts(2);
    const startSidecar = () =>
      startProgram("sidecar", `side-${index}`, {
        host: `side-${index}`,
        data_centre: index % 2 === 0 ? "kol-a" : "sil-a",
        service: SERVICE,
        peer_address: `127.0.0.1:${peer}`,
        metrics_address: `127.0.0.1:${metrics}`,
        endpoint_address: worker.address,
        seeds,
        regions: REGIONS,
        host_mbit_per_s: 100,
        switch_within_ms: versionMs,
      });
    sidecars[index] = { process: await startSidecar(), startSidecar };
    registerWorker(worker, version);
    return worker;
  }

  function registerWorker(worker: WorkerStandIn, version: number | undefined) {
    const { id, address } = worker;
    putEndpoint({ id, address, version, seq: 1 });
  }

  function putEndpoint(record: {
    readonly id: string;
    readonly address: string;
    readonly dataCentre?: string;
    readonly version: number | undefined;
    /** Rises with each renewal. */
    readonly seq: number;
    readonly isDraining?: boolean;
  }) {
    const { version, seq } = record;
    store.put(`servers/${record.id}`, {
      service: SERVICE,
      address: record.address,
      zone: record.dataCentre ?? "kol-a",
      version: "v1",
      slots: 16,
      state: record.isDraining === true ? "draining" : "ready",
      "coldstart-ms": 0,
      models: version === undefined ? [] : [{ name: MODEL.name, version }],
      seq,
    });
  }

  function publishConfig(version: number, keys: readonly string[]) {
    store.put(
      "op/config",
      createConfig({
        version,
        keys,
        origin: origin.address,
        objectiveMs: options.objectiveMs ?? DEFAULT_OBJECTIVE_MS,
      }),
    );
  }

  publishConfig(1, [FIRST_KEY]);
  const gateways = await Promise.all(
    Array.from({ length: options.gateways }, (_, index) => startGateway(index)),
  );
  const workers = await Promise.all(
    options.workers.map((version, index) =>
      startWorkerWithSidecar(index, version),
    ),
  );

  return {
    store,
    storeRelays,
    origin,
    gateways,
    workers,
    processes,
    publishConfig,
    putEndpoint,
    evacuate: (dataCentre: string) =>
      store.put(`op/evacuate/${dataCentre}`, {}),
    /** Starts a gateway again, at its old addresses, after its process ended. */
    async restartGateway(index: number) {
      gateways[index] = await startGateway(index);
    },
    sidecarOf: (index: number) => sidecars[index]!.process.child,
    /** Starts a sidecar again after its process ended. */
    async restartSidecar(index: number) {
      sidecars[index]!.process = await sidecars[index]!.startSidecar();
    },
    async addWorker(version: number | undefined) {
      const worker = await startWorkerWithSidecar(workers.length, version);
      workers.push(worker);
      return worker;
    },
    publishVersion: (version: number) =>
      store.put(`op/version/${MODEL.name}`, { model: MODEL.name, version }),
    async close() {
      await Promise.all(processes.map(({ child }) => killProcess(child)));
      workers.forEach((worker) => worker.close());
      origin.close();
      storeRelays.forEach((relay) => relay.close());
      store.close();
      await rm(directory, { recursive: true, force: true });
    },
  };
}

function createConfig({
  version,
  keys,
  origin,
  objectiveMs,
}: {
  readonly version: number;
  readonly keys: readonly string[];
  readonly origin: string;
  readonly objectiveMs: number;
}) {
  return {
    version,
    routes: [
      {
        name: "r1",
        host: "desk.example",
        prefix: "/a/",
        kind: "stream",
        "timeout-ms": 6_000,
        "latency-goal-ms": objectiveMs,
        priority: 1,
        service: SERVICE,
        "max-attempts": 2,
        anonymous: false,
        sticky: true,
        "can-resume": true,
        "gap-target-ms": 400,
        "allowed-regions": [],
      },
    ],
    services: [
      {
        name: SERVICE,
        "health-path": "/health",
        "max-conns": 200,
        "coldstart-s": 0,
        "coldstart-per-s": 0,
        engine: {
          slots: 16,
          "kv-capacity": 317_000,
          stride: 5,
          models: [{ name: MODEL.name, "warm-s": 0.1 }],
          step_ms: 9.27,
          per_seq_ms: 0.0232,
          context_per_k: 0.0322,
          read_per_s: 20_700,
          usual: { prompt: 100, answer: 25 },
          chunks: MODEL.chunkCount,
          "chunk-bytes": MODEL.chunkBytes,
        },
      },
      { name: "origin", origin, "link-mbps": 100, "max-conns": 16 },
    ],
    limits: {
      "max-header-bytes": 16_384,
      "max-body-bytes": 65_536,
      "header-timeout-ms": 3_000,
      "idle-timeout-ms": 15_000,
    },
    tenants: [{ name: "t1", "api-keys": keys, "allowed-regions": [] }],
  };
}

export type PlatformFleet = Awaited<ReturnType<typeof startPlatformFleet>>;

async function killProcess(child: ChildProcess) {
  if (child.exitCode !== null || child.signalCode !== null) return;
  const ended = new Promise((resolve) => child.once("exit", resolve));
  child.kill("SIGKILL");
  await ended;
}
