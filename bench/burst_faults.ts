/** The faults that a burst can meet, and what is expected after each. */

import { sendText } from "./bench_http.ts";
import { computeLowerBoundMs, computeStoreMbitPerS } from "./burst_plan.ts";
import type { BurstSize } from "./burst_plan.ts";
import { startFaultySender } from "./faulty_sender.ts";
import type { Fleet } from "./fleet.ts";
import { PEER_PORT } from "./fleet_hosts.ts";
import type { PlannedHost, VersionName } from "./fleet_plan.ts";

export const FAULTS = [
  "none",
  "kill_tenth",
  "stall_link",
  "corrupt_sender",
  "store_down",
  "store_slow",
  "version_changed",
  "version_withdrawn",
  "late_joiners",
  "small_memory",
  "pause_one",
] as const;
export type Fault = (typeof FAULTS)[number];

/** In lower bounds after the new version. */
const FAULT_AT = 0.5;
/** The store sends a copy in half a lower bound, so this is half-way. */
const STORE_FAULT_AT = 0.25;
const OUTAGE_MS = 4_000;
/** Part of its rate that a limited store still sends. */
const SLOW_STORE_SHARE = 0.25;
/** Time in which the platform notices a stalled host and removes it. */
const REMOVAL_MS = 10_000;
/** Time in which requests for a withdrawn version may still end. */
const WITHDRAWAL_MS = 5_000;
const LATE_START_MS = 3_000;

export interface FaultRun {
  readonly fleet: Fleet;
  readonly size: BurstSize;
  readonly hosts: readonly PlannedHost[];
  readonly publish: (version: VersionName) => Promise<void>;
}

/** Which version all replicas serve in the end. */
export function chooseFinalVersion(fault: Fault): VersionName {
  if (fault === "version_changed") return "v3";
  return fault === "version_withdrawn" ? "v1" : "v2";
}

/** In copies of the model; two versions fit except under `small_memory`. */
export function chooseMemoryCopies(fault: Fault): number {
  return fault === "small_memory" ? 1.25 : 2;
}

/** Every tenth host, so that all data centres lose some. */
export function listKilled(
  fault: Fault,
  hosts: readonly PlannedHost[],
): readonly PlannedHost[] {
  if (fault !== "kill_tenth") return [];
  return hosts.filter((_, index) => index % 10 === 5);
}

/** Every fourth host, at least one. */
export function listLate(
  fault: Fault,
  hosts: readonly PlannedHost[],
): readonly PlannedHost[] {
  if (fault !== "late_joiners") return [];
  return hosts.filter((_, index) => index % 4 === 1);
}

/** Takes hosts that join late out of the fleet before the load starts. */
export async function prepareFault(fault: Fault, run: FaultRun) {
  const late = listLate(fault, run.hosts);
  if (late.length === 0) return;
  late.forEach((host) => signal(run, host, "SIGKILL"));
  await run.fleet.publishHosts(late.map(({ name }) => name));
  await delay(LATE_START_MS);
}

/** Causes the fault some time after the new version; resolves after it. */
export async function causeFault(fault: Fault, run: FaultRun): Promise<void> {
  const { fleet, size, hosts, publish } = run;
  const isOfStore = fault === "store_down" || fault === "store_slow";
  const atMs =
    computeLowerBoundMs(size) * (isOfStore ? STORE_FAULT_AT : FAULT_AT);
  if (fault === "stall_link" || fault === "corrupt_sender") {
    return runFaultySender(run, {
      isCorrupt: fault === "corrupt_sender",
      atMs,
    });
  }
  await delay(atMs);
  switch (fault) {
    case "kill_tenth": {
      const killed = listKilled(fault, hosts);
      killed.forEach((host) => signal(run, host, "SIGKILL"));
      return fleet.publishHosts(killed.map(({ name }) => name));
    }
    case "store_down":
      await sendText("POST", `${fleet.storeUrl}/admin/availability`, "down");
      await delay(OUTAGE_MS);
      return sendText("POST", `${fleet.storeUrl}/admin/availability`, "up");
    case "store_slow": {
      const rate = computeStoreMbitPerS(size) * SLOW_STORE_SHARE;
      return sendText("POST", `${fleet.storeUrl}/admin/rate`, String(rate));
    }
    case "version_changed":
      return publish("v3");
    case "version_withdrawn":
      await publish("v1");
      return delay(WITHDRAWAL_MS);
    case "late_joiners": {
      const late = listLate(fault, hosts);
      await Promise.all(late.map(({ name }) => fleet.startEndpoint(name)));
      late.forEach(({ name }) => fleet.startAgent(name));
      return fleet.publishHosts();
    }
    case "pause_one":
      // Its connections stay open and carry nothing for a while.
      signal(run, hosts[0]!, "SIGSTOP");
      await delay(OUTAGE_MS);
      return signal(run, hosts[0]!, "SIGCONT");
    default:
      return;
  }
}

/** The sender is one more host, which joins at the start of the burst. */
async function runFaultySender(
  { fleet, size, hosts }: FaultRun,
  fault: { readonly isCorrupt: boolean; readonly atMs: number },
) {
  const near = hosts[0]!;
  const host: PlannedHost = {
    ...near,
    name: `${near.name}-faulty`,
    ip: near.ip.replace(/\d+$/, "250"),
  };
  const sender = await startFaultySender({
    host,
    receivers: hosts,
    version: "v2",
    files: fleet.plan.files,
    mbitPerS: size.hostMbitPerS,
    isCorrupt: fault.isCorrupt,
  });
  await publishHostsWith(fleet, host);
  await delay(fault.atMs);
  if (!fault.isCorrupt) sender.stall();
  await delay(REMOVAL_MS);
  await fleet.publishHosts();
  sender.close();
}

async function publishHostsWith(fleet: Fleet, extra: PlannedHost) {
  const hosts = [...fleet.plan.hosts, extra].map((host) => ({
    name: host.name,
    role: host.role,
    service: host.service,
    data_centre: host.dataCentre,
    peer_address: `${host.ip}:${PEER_PORT}`,
    state: "live",
  }));
  const url = `${fleet.platformUrl}/admin/hosts`;
  await sendText("PUT", url, JSON.stringify(hosts));
}

/** To the agent and its endpoint. */
function signal(
  { fleet }: FaultRun,
  host: PlannedHost,
  name: NodeJS.Signals,
): void {
  ["", "endpoint-"].forEach((prefix) =>
    fleet
      .processes()
      .get(prefix + host.name)!
      .signal(name),
  );
}

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
