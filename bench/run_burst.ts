/**
 * Runs one burst: a fleet that serves a first version switches to a new one
 * under steady load, with an optional fault and one policy of weight transfer.
 */

import { readAllMetrics } from "./agent_metrics.ts";
import { readText, sendText } from "./bench_http.ts";
import { pollUntilServing } from "./replica_times.ts";
import {
  injectFault,
  chooseFinalVersion,
  chooseMemoryCopies,
  listKilledHosts,
  prepareFault,
} from "./burst_faults.ts";
import type { Fault, FaultContext } from "./burst_faults.ts";
import {
  computeLowerBoundMs,
  computeStoreMbitPerS,
  planBurst,
  SETUP_MBIT_PER_S,
} from "./burst_plan.ts";
import type { BurstSize } from "./burst_plan.ts";
import { describeBurst } from "./burst_report.ts";
import { sendCompletion } from "./call.ts";
import { startFleet } from "./fleet.ts";
import type { Fleet } from "./fleet.ts";
import { LANGUAGE_SERVICE, processUrl } from "./fleet_hosts.ts";
import { ACCOUNTS } from "./fleet_plan.ts";
import type { FleetPlan, VersionName } from "./fleet_plan.ts";
import { startLoad } from "./load.ts";
import { ENGINE_PROFILE } from "./profiles.ts";
import { createRandom, pickOne } from "./random.ts";
import { computeRoleUsage, readCpu } from "./role_usage.ts";

/** Similar to the deployment of 3,700 endpoints (docs/design.md 1.5). */
const STREAMS_PER_S_PER_REPLICA = 3;
const MAX_TOKENS = 25;
const READY_TIMEOUT_MS = 60_000;
/**
 * Timeout in lower bounds, multiplied by N/2 for the baseline, which needs N/2
 * lower bounds. Ends a run that would otherwise never finish.
 */
const TIMEOUT_LOWER_BOUNDS = 3;
/** Timeout of the roll-out, which does not depend on the size of the model. */
const ROLLOUT_TIMEOUT_MS = 60_000;
const WARM_UP_MS = 8_000;
const BEFORE_WINDOW_MS = 10_000;

export interface BurstOptions {
  readonly size: BurstSize;
  readonly seed: number;
  readonly fault: Fault;
  readonly policy: "swarm" | "store";
}

export type BurstResult = ReturnType<typeof describeBurst>;

export async function runBurst(options: BurstOptions): Promise<BurstResult> {
  const { size, fault, policy } = options;
  const fleet = await startFleet({
    plan: planBurst(size, { isSetup: true }),
    engine: ENGINE_PROFILE,
    storeMbitPerS: SETUP_MBIT_PER_S,
    weightsPolicy: policy,
    weightsMemoryBytes: chooseMemoryCopies(fault) * size.modelBytes,
    hostsLagMs: 1_000,
    ledgerWorkMs: 20,
  });
  try {
    return await measureBurst(fleet, options);
  } finally {
    await fleet.close();
  }
}

async function measureBurst(fleet: Fleet, options: BurstOptions) {
  const { size, fault } = options;
  const plan = planBurst(size, { isSetup: false });
  const hosts = plan.hosts.filter((h) => h.service === LANGUAGE_SERVICE);
  const publish = (version: VersionName) =>
    publishVersion(fleet, plan, version);
  const context: FaultContext = { fleet, size, hosts, publish };
  await setUp(fleet, plan);
  await sendText(
    "POST",
    `${fleet.storeUrl}/admin/rate`,
    String(computeStoreMbitPerS(size)),
  );
  await publish("v1");
  await prepareFault(fault, context);

  const load = startBurstLoad(plan, options);
  await delay(WARM_UP_MS);
  const beforeStartMs = Date.now();
  await delay(BEFORE_WINDOW_MS);

  const before = await readCounters(fleet, hosts);
  const cpuBefore = readCpu(fleet);
  const burstStartMs = Date.now();
  await publish("v2");
  const faultDone = injectFault(fault, context);
  // The final version is then the one served at the start, so polling for it
  // would return before the withdrawal.
  if (fault === "version_withdrawn") await faultDone;
  const afterWithdrawal = await readCounters(fleet, hosts);
  const killedHosts = listKilledHosts(fault, hosts);
  const timesByHost = await pollUntilServing({
    hosts: hosts.filter((host) => !killedHosts.includes(host)),
    digest: plan.digestOf(chooseFinalVersion(fault)),
    timeoutMs: computeTimeoutMs(options),
  });
  if (fault === "version_withdrawn") await delay(BEFORE_WINDOW_MS);
  await faultDone;
  const burstEndMs = Date.now();
  const usage = computeRoleUsage(fleet, {
    before: cpuBefore,
    durationS: (burstEndMs - burstStartMs) / 1000,
  });
  const after = await readCounters(fleet, hosts);
  return describeBurst({
    size,
    hosts,
    timesByHost,
    before,
    after,
    ...(fault === "version_withdrawn" && { afterWithdrawal }),
    results: await load.stop(),
    beforeStartMs,
    burstStartMs,
    burstEndMs,
    usage,
  });
}

/** Distributes the first version to all replicas over fast links. */
async function setUp(fleet: Fleet, plan: FleetPlan) {
  const entries = plan.hosts.filter((host) => host.role === "entry");
  await publishVersion(fleet, fleet.plan, "v1");
  await fleet.waitUntilReady(
    entries.map((host) => host.name),
    READY_TIMEOUT_MS,
  );
  await pollUntilServing({
    hosts: plan.hosts.filter((host) => host.service === LANGUAGE_SERVICE),
    digest: plan.digestOf("v1"),
    timeoutMs: READY_TIMEOUT_MS,
  });
}

function publishVersion(
  fleet: Fleet,
  plan: FleetPlan,
  servingVersion: VersionName,
): Promise<void> {
  return sendText(
    "PUT",
    `${fleet.platformUrl}/admin/config`,
    plan.createDocument({ servingVersion, outDataCentres: [] }),
  );
}

function startBurstLoad(plan: FleetPlan, { size, seed }: BurstOptions) {
  const entries = plan.hosts.filter((host) => host.role === "entry");
  const random = createRandom(seed);
  return startLoad({
    ratePerS: STREAMS_PER_S_PER_REPLICA * size.replicas,
    random,
    send: () =>
      sendCompletion({
        baseUrl: processUrl(pickOne(random, entries)),
        account: pickOne(random, ACCOUNTS),
        prompt: `Quotation ${Math.floor(random() * 200)}`,
        maxTokens: 5 + Math.floor(random() * MAX_TOKENS),
      }),
  });
}

async function readCounters(fleet: Fleet, hosts: FaultContext["hosts"]) {
  const [metrics, counters] = await Promise.all([
    readAllMetrics(hosts),
    readText(`${fleet.storeUrl}/admin/counters`),
  ]);
  const { sent_bytes } = JSON.parse(counters) as { sent_bytes: number };
  return { metrics, storeBytes: sent_bytes };
}

function computeTimeoutMs({ size, policy, fault }: BurstOptions): number {
  const policyFactor = policy === "store" ? Math.max(1, size.replicas / 2) : 1;
  // A limited store sends a copy in two lower bounds.
  const slowdown = fault === "store_slow" ? 2 : 1;
  const lowerBounds = TIMEOUT_LOWER_BOUNDS * policyFactor * slowdown;
  return ROLLOUT_TIMEOUT_MS + computeLowerBoundMs(size) * lowerBounds;
}

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
