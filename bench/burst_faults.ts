/** Faults that are injected into a burst, and the state expected after each. */

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

/** Delay after the new version is published, in lower bounds. */
const FAULT_DELAY_LOWER_BOUNDS = 0.5;
/** The store sends a copy in half a lower bound, so this is half of that time. */
const STORE_FAULT_DELAY_LOWER_BOUNDS = 0.25;
const OUTAGE_MS = 4_000;
/** Rate of a limited store, as a share of its usual rate. */
const SLOW_STORE_RATE_SHARE = 0.25;
/** Time after which the platform removes a stalled host from the host list. */
const HOST_REMOVAL_MS = 10_000;
/** Time for requests that run on a withdrawn version to finish. */
const WITHDRAWAL_DRAIN_MS = 5_000;
const LATE_START_MS = 3_000;

export interface FaultContext {
  readonly fleet: Fleet;
  readonly size: BurstSize;
  readonly hosts: readonly PlannedHost[];
  readonly publish: (version: VersionName) => Promise<void>;
}

/** The version that all replicas have to serve at the end. */
export function chooseFinalVersion(fault: Fault): VersionName {
  if (fault === "version_changed") return "v3";
  return fault === "version_withdrawn" ? "v1" : "v2";
}

/** Weights memory in copies of the model: two versions fit, except with `small_memory`. */
export function chooseMemoryCopies(fault: Fault): number {
  return fault === "small_memory" ? 1.25 : 2;
}

/** Every tenth host, so that each data centre loses some. */
export function listKilledHosts(
  fault: Fault,
  hosts: readonly PlannedHost[],
): readonly PlannedHost[] {
  if (fault !== "kill_tenth") return [];
  return hosts.filter((_, index) => index % 10 === 5);
}

/** Every fourth host, beginning with the second; the only one of a single host. */
export function listLateHosts(
  fault: Fault,
  hosts: readonly PlannedHost[],
): readonly PlannedHost[] {
  if (fault !== "late_joiners") return [];
  if (hosts.length === 1) return hosts;
  return hosts.filter((_, index) => index % 4 === 1);
}

/** Removes the hosts that join late from the fleet before the load starts. */
export async function prepareFault(fault: Fault, context: FaultContext) {
  const late = listLateHosts(fault, context.hosts);
  if (late.length === 0) return;
  late.forEach((host) => signalHost(context, host, "SIGKILL"));
  await context.fleet.publishHosts(late.map(({ name }) => name));
  await delay(LATE_START_MS);
}

/** Injects the fault after a delay; resolves when a temporary fault has ended. */
export async function injectFault(
  fault: Fault,
  context: FaultContext,
): Promise<void> {
  const { fleet, size, hosts, publish } = context;
  const isStoreFault = fault === "store_down" || fault === "store_slow";
  const delayMs =
    computeLowerBoundMs(size) *
    (isStoreFault ? STORE_FAULT_DELAY_LOWER_BOUNDS : FAULT_DELAY_LOWER_BOUNDS);
  if (fault === "stall_link" || fault === "corrupt_sender") {
    return runFaultySender(context, {
      isCorrupt: fault === "corrupt_sender",
      delayMs,
    });
  }
  await delay(delayMs);
  switch (fault) {
    case "kill_tenth": {
      const killed = listKilledHosts(fault, hosts);
      killed.forEach((host) => signalHost(context, host, "SIGKILL"));
      return fleet.publishHosts(killed.map(({ name }) => name));
    }
    case "store_down":
      await sendText("POST", `${fleet.storeUrl}/admin/availability`, "down");
      await delay(OUTAGE_MS);
      return sendText("POST", `${fleet.storeUrl}/admin/availability`, "up");
    case "store_slow": {
      const rate = computeStoreMbitPerS(size) * SLOW_STORE_RATE_SHARE;
      return sendText("POST", `${fleet.storeUrl}/admin/rate`, String(rate));
    }
    case "version_changed":
      return publish("v3");
    case "version_withdrawn":
      await publish("v1");
      return delay(WITHDRAWAL_DRAIN_MS);
    case "late_joiners": {
      const late = listLateHosts(fault, hosts);
      await Promise.all(late.map(({ name }) => fleet.startEndpoint(name)));
      late.forEach(({ name }) => fleet.startAgent(name));
      return fleet.publishHosts();
    }
    case "pause_one":
      // Its connections stay open but carry no data while it is paused.
      signalHost(context, hosts[0]!, "SIGSTOP");
      await delay(OUTAGE_MS);
      return signalHost(context, hosts[0]!, "SIGCONT");
    default:
      return;
  }
}

/** Adds the faulty sender as an extra host at the start of the burst. */
async function runFaultySender(
  { fleet, size, hosts }: FaultContext,
  fault: { readonly isCorrupt: boolean; readonly delayMs: number },
) {
  const templateHost = hosts[0]!;
  const host: PlannedHost = {
    ...templateHost,
    name: `${templateHost.name}-faulty`,
    ip: templateHost.ip.replace(/\d+$/, "250"),
  };
  const sender = await startFaultySender({
    host,
    receivers: hosts,
    version: "v2",
    files: fleet.plan.files,
    mbitPerS: size.hostMbitPerS,
    isCorrupt: fault.isCorrupt,
  });
  await publishHostsWithExtra(fleet, host);
  await delay(fault.delayMs);
  if (!fault.isCorrupt) sender.stall();
  await delay(HOST_REMOVAL_MS);
  await fleet.publishHosts();
  sender.close();
}

async function publishHostsWithExtra(fleet: Fleet, extra: PlannedHost) {
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

/** Signals the host's agent and its endpoint. */
function signalHost(
  { fleet }: FaultContext,
  host: PlannedHost,
  signalName: NodeJS.Signals,
): void {
  ["", "endpoint-"].forEach((prefix) =>
    fleet
      .processes()
      .get(prefix + host.name)!
      .signal(signalName),
  );
}

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
