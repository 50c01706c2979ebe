/**
 * Twice the measured capacity arrives with two priorities while a third of the
 * endpoints is killed. One JSON line tells goodput, outcomes, retries and how
 * soon service is normal after the burst.
 */

import { Command } from "commander";
import { request } from "undici";
import { sendCompletion } from "./call.ts";
import type { CallResult } from "./call.ts";
import { startFleet } from "./fleet.ts";
import { LANGUAGE_SERVICE, processUrl } from "./fleet_hosts.ts";
import { ACCOUNTS, planFleet } from "./fleet_plan.ts";
import type { BenchAccount } from "./fleet_plan.ts";
import { readLanguageStatus } from "./fleet_status.ts";
import { startLoad } from "./load.ts";
import { COLD_CONCURRENCY, ENGINE_PROFILE } from "./profiles.ts";
import { createRandom, pickOne } from "./random.ts";
import { computePercentiles, countDetails, countOutcomes } from "./tally.ts";

const WARM_CONCURRENCY = 8;
const ENDPOINTS_PER_DATA_CENTRE = 3;
const TOKENS = 50;
const MODEL_BYTES = 1024 * 1024;
const READY_LIMIT_MS = 30_000;
const RECOVERY_LIMIT_MS = 20_000;
const RECOVERY_WINDOW_MS = 1_000;
/** After a change of load, before goodput counts. */
const SETTLE_MS = 2_000;
const OVERLOAD = 2;
/** Share of the remaining capacity that arrives after the burst. */
const LOAD_AFTER = 0.4;

const options = new Command()
  .option("--seed <n>", "seed of the load", "1")
  .option("--seconds <n>", "length of each phase", "6")
  .option("--json", "print one JSON line")
  .parse()
  .opts<{ seed: string; seconds: string; json?: boolean }>();

const plan = planFleet({
  dataCentres: ["kolkata", "siliguri"].map((name) => ({
    name,
    region: "bengal",
    entries: 1,
    languageEndpoints: ENDPOINTS_PER_DATA_CENTRE,
    ledgerEndpoints: 0,
  })),
  files: { sizeBytes: MODEL_BYTES, chunkBytes: 64 * 1024 },
  hostMbitPerS: 100,
  storeMbitPerS: 200,
  regionMbitPerS: 100,
  coldConcurrency: COLD_CONCURRENCY,
  warmConcurrency: WARM_CONCURRENCY,
  requestsPerS: 10_000,
});
const entries = plan.hosts.filter((host) => host.role === "entry");
const engines = plan.hosts.filter((h) => h.service === LANGUAGE_SERVICE);
const random = createRandom(Number(options.seed));
const phaseMs = Number(options.seconds) * 1000;

interface PriorityResult extends CallResult {
  readonly priority: number;
}

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

async function send(account: BenchAccount): Promise<PriorityResult> {
  const result = await sendCompletion({
    baseUrl: processUrl(pickOne(random, entries)),
    account,
    prompt: `Quotation ${Math.floor(random() * 10_000)}`,
    maxTokens: TOKENS,
  });
  return { ...result, priority: account.priority };
}

/** Sends from this many callers, each with one request at a time. */
function startClosedLoad(callers: number) {
  const results: CallResult[] = [];
  let isOn = true;
  async function run() {
    while (isOn) {
      const result = await send(ACCOUNTS[0]!);
      results.push(result);
      if (result.outcome !== "answered_whole") await delay(50);
    }
  }
  const tasks = Array.from({ length: callers }, run);
  return {
    results,
    async stop() {
      isOn = false;
      await Promise.all(tasks);
    },
  };
}

function countAnsweredPerS(
  results: readonly CallResult[],
  { fromMs, toMs }: { readonly fromMs: number; readonly toMs: number },
): number {
  const answered = results.filter((result) => {
    const endMs = result.sentAtMs + result.totalMs;
    return (
      result.outcome === "answered_whole" && endMs >= fromMs && endMs < toMs
    );
  });
  return answered.length / ((toMs - fromMs) / 1000);
}

/** Sum of a counter over all entries. */
async function sumCounter(name: string): Promise<number> {
  const texts = await Promise.all(
    entries.map(async (host) => {
      const { body } = await request(`${processUrl(host)}/metrics`);
      return body.text();
    }),
  );
  const pattern = new RegExp(`^(?:\\w+_)?${name}(?:\\{.*\\})? (\\S+)$`);
  return texts
    .flatMap((text) => text.split("\n"))
    .reduce((sum, line) => sum + Number(pattern.exec(line)?.[1] ?? 0), 0);
}

/** Time until all requests sent within one window were answered whole. */
function findRecoveryMs(
  results: readonly CallResult[],
  fromMs: number,
): number | null {
  const offsetsMs = Array.from(
    { length: RECOVERY_LIMIT_MS / 100 },
    (_, index) => index * 100,
  );
  const found = offsetsMs.find((offsetMs) => {
    const startMs = fromMs + offsetMs;
    const window = results.filter(
      (result) =>
        result.sentAtMs >= startMs &&
        result.sentAtMs < startMs + RECOVERY_WINDOW_MS,
    );
    return (
      window.length > 0 &&
      window.every((result) => result.outcome === "answered_whole")
    );
  });
  return found ?? null;
}

const fleet = await startFleet({
  plan,
  engine: { ...ENGINE_PROFILE, warmCapacity: WARM_CONCURRENCY },
  storeMbitPerS: 200,
  weightsPolicy: "swarm",
  weightsMemoryBytes: 4 * MODEL_BYTES,
  hostsLagMs: 1_000,
  ledgerWorkMs: 20,
});
try {
  await fleet.publish({ servingVersion: "v1", outDataCentres: [] });
  await fleet.waitUntilReady(
    plan.hosts.map((host) => host.name),
    READY_LIMIT_MS,
  );

  const callers = engines.length * WARM_CONCURRENCY * 1.5;
  const closed = startClosedLoad(callers);
  const warmByMs = performance.now() + READY_LIMIT_MS;
  for (;;) {
    const statuses = await readLanguageStatus(plan, plan.digestOf("v1"));
    const warm = statuses.filter((s) => s.phase === "warm").length;
    if (warm === engines.length) break;
    if (performance.now() > warmByMs) throw new Error("Fleet not warm");
    await delay(100);
  }
  await delay(2 * SETTLE_MS);
  const capacityFromMs = Date.now();
  await delay(phaseMs);
  const capacityPerS = countAnsweredPerS(closed.results, {
    fromMs: capacityFromMs,
    toMs: Date.now(),
  });
  await closed.stop();

  const retriesBefore = await sumCounter("retries_total");
  const requestsBefore = await sumCounter("requests_total");
  const burst: PriorityResult[] = [];
  const load = startLoad({
    ratePerS: OVERLOAD * capacityPerS,
    random,
    send: async () => {
      const result = await send(pickOne(random, ACCOUNTS));
      burst.push(result);
      return result;
    },
  });
  await delay(SETTLE_MS);
  const beforeFromMs = Date.now();
  await delay(phaseMs);

  const killed = engines.filter((_, index) => index % 3 === 0);
  const killedAtMs = Date.now();
  killed.forEach((host) =>
    fleet.processes().get(`endpoint-${host.name}`)!.signal("SIGKILL"),
  );
  await delay(SETTLE_MS + phaseMs);
  const endMs = Date.now();

  const remaining = 1 - killed.length / engines.length;
  const after: CallResult[] = [];
  const calm = startLoad({
    ratePerS: LOAD_AFTER * remaining * capacityPerS,
    random,
    send: async () => {
      const result = await send(pickOne(random, ACCOUNTS));
      after.push(result);
      return result;
    },
  });
  await load.stop();
  const burstRetries = (await sumCounter("retries_total")) - retriesBefore;
  const burstRequests = (await sumCounter("requests_total")) - requestsBefore;
  await delay(phaseMs);
  await calm.stop();

  const all = [...burst, ...after];
  const refusals = burst.filter((result) => result.outcome === "not_run");
  const byPriority = [1, 0].map((priority) => [
    priority,
    countOutcomes(burst.filter((result) => result.priority === priority)),
  ]);
  const share = (perS: number, part: number) => perS / (capacityPerS * part);
  const { wrong, cut } = countOutcomes(all);
  const report = {
    seed: Number(options.seed),
    capacity_per_s: capacityPerS,
    offered_per_s: OVERLOAD * capacityPerS,
    sent: all.length,
    goodput_share_before: share(
      countAnsweredPerS(burst, { fromMs: beforeFromMs, toMs: killedAtMs }),
      1,
    ),
    goodput_share_during: share(
      countAnsweredPerS(burst, {
        fromMs: killedAtMs + SETTLE_MS,
        toMs: endMs,
      }),
      remaining,
    ),
    outcomes_by_priority: Object.fromEntries(byPriority) as unknown,
    retries_per_request: burstRetries / burstRequests,
    refusal_p95_ms: computePercentiles(refusals.map((r) => r.totalMs)).p95,
    wrong,
    cut,
    recovered_ms: findRecoveryMs(after, endMs),
    reasons: countDetails(all),
  };
  console.log(JSON.stringify(report, null, options.json ? 0 : 2));
} finally {
  await fleet.close();
}
process.exit(0);
