/**
 * Twice the capacity arrives, of two priorities, and a third of the engines is
 * killed as it begins, half of them together with their agents. One JSON line
 * tells goodput, outcomes, retries and how soon service is normal again.
 */

import { Command } from "commander";
import { auditBookings } from "./booking_audit.ts";
import {
  computeEnginePerS,
  countAnsweredPerS,
  startClosedLoad,
} from "./capacity.ts";
import { readEntryCounters, subtractCounters } from "./entry_counters.ts";
import {
  endpointUrl,
  LANGUAGE_SERVICE,
  LEDGER_SERVICE,
} from "./fleet_hosts.ts";
import { ACCOUNTS } from "./fleet_plan.ts";
import { readLanguageStatus } from "./fleet_status.ts";
import {
  describePriority,
  describeRetries,
  listFaults,
  listMisses,
} from "./overload_report.ts";
import { startLoad } from "./load.ts";
import { ENGINE_PROFILE } from "./profiles.ts";
import { createRandom } from "./random.ts";
import { findRecovery } from "./recovery.ts";
import {
  computePercentiles,
  countDetails,
  countOutcomes,
  listFirstTokenMs,
} from "./tally.ts";
import { planTrial } from "./trial_fleet.ts";
import {
  sendLanguageCall,
  sendLanguageCallAgain,
  startBookingLoad,
  startLanguageLoad,
} from "./trial_load.ts";
import type { LanguageResult } from "./trial_load.ts";

const WARM_CONCURRENCY = 8;
const TOKENS = 50;
/** So many that no prompt's prefix is found in a cache. */
const PROMPTS = 1_000_000_000;
const READY_LIMIT_MS = 30_000;
/** After a change of load, before goodput counts. */
const SETTLE_MS = 2_000;
/** From the start of the burst, so that the lost engines are full. */
const KILL_AFTER_MS = 500;
const OVERLOAD = 2;
/** Share of what remains that arrives before and after the burst. */
const NORMAL_LOAD = 0.5;
const BOOKINGS_PER_S = 10;
/** Callers for each place at an engine or in its queue. */
const CALLERS_PER_PLACE = 2;
/** First tokens this much slower than before the burst are not normal. */
const NORMAL_SLOWDOWN = 2;

const options = new Command()
  .option("--seed <n>", "seed of the load", "1")
  .option("--seconds <n>", "length of each phase", "10")
  .option("--high-share <n>", "share of the high-priority account", "0.25")
  .option("--come-backs <n>", "times that a refused caller returns", "0")
  .option("--json", "print one JSON line")
  .parse()
  .opts<{
    seed: string;
    seconds: string;
    highShare: string;
    comeBacks: string;
    json?: boolean;
  }>();

const trial = planTrial({
  dataCentres: ["kolkata", "siliguri"],
  warmConcurrency: WARM_CONCURRENCY,
  requestsPerS: 10_000,
});
const { plan } = trial;
const entries = plan.hosts.filter((host) => host.role === "entry");
const engines = plan.hosts.filter((h) => h.service === LANGUAGE_SERVICE);
const ledgers = plan.hosts.filter((h) => h.service === LEDGER_SERVICE);
const lost = engines.filter((_, index) => index % 3 === 0);
const random = createRandom(Number(options.seed));
const phaseMs = Number(options.seconds) * 1000;
const highShare = Number(options.highShare);
const [high, low] = ACCOUNTS as [
  (typeof ACCOUNTS)[number],
  (typeof ACCOUNTS)[number],
];

const call = {
  plan,
  random,
  prompts: PROMPTS,
  minTokens: TOKENS,
  lengths: 1,
  pickAccount: () => (random() < highShare ? high : low),
};

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

async function waitUntilWarm() {
  const byMs = performance.now() + READY_LIMIT_MS;
  for (;;) {
    const statuses = await readLanguageStatus(plan, plan.digestOf("v1"));
    const warm = statuses.filter((s) => s.phase === "warm").length;
    if (warm === engines.length) return;
    if (performance.now() > byMs) throw new Error("Fleet not warm");
    await delay(100);
  }
}

/** Saturates the whole fleet, which also warms it up. */
async function measureCapacityPerS(): Promise<number> {
  const places = engines.length * 2 * WARM_CONCURRENCY;
  const load = startClosedLoad({
    callers: CALLERS_PER_PLACE * places,
    random,
    send: () => sendLanguageCall(call),
  });
  await waitUntilWarm();
  await delay(2 * SETTLE_MS);
  const fromMs = Date.now();
  await delay(phaseMs);
  const toMs = Date.now();
  await load.stop();
  return countAnsweredPerS(load.results(), { fromMs, toMs });
}

const fleet = await trial.start();
let isMet = false;
try {
  await fleet.publish({ servingVersion: "v1", outDataCentres: [] });
  await fleet.waitUntilReady(
    plan.hosts.map((host) => host.name),
    READY_LIMIT_MS,
  );
  const engine = { ...ENGINE_PROFILE, warmCapacity: WARM_CONCURRENCY };
  const computedPerS =
    engines.length * computeEnginePerS({ engine, tokens: TOKENS });
  const measuredPerS = await measureCapacityPerS();
  const capacityPerS = Math.max(computedPerS, measuredPerS);
  const remainingPerS = capacityPerS * (1 - lost.length / engines.length);

  const bookings = startBookingLoad({ plan, random, ratePerS: BOOKINGS_PER_S });
  const normal = { ...call, ratePerS: NORMAL_LOAD * remainingPerS };
  const before = startLanguageLoad(normal);
  const countersBefore = await readEntryCounters(plan);
  const beforeAtMs = Date.now();
  await delay(phaseMs);

  const offeredPerS = OVERLOAD * capacityPerS;
  const beforeStopped = before.stop();
  const burst: LanguageResult[] = [];
  const burstLoad = startLoad({
    ratePerS: offeredPerS,
    random,
    send: () =>
      sendLanguageCallAgain(call, Number(options.comeBacks), (result) =>
        burst.push(result),
      ),
  });
  await delay(KILL_AFTER_MS);
  lost.forEach(({ name }, index) => {
    fleet.processes().get(`endpoint-${name}`)!.signal("SIGKILL");
    if (index % 2 === 1) fleet.processes().get(name)!.signal("SIGKILL");
  });
  const killedAtMs = Date.now();
  await delay(SETTLE_MS + phaseMs);
  const endMs = Date.now();
  const burstStopped = burstLoad.stop();
  const after = startLanguageLoad(normal);
  const counters = subtractCounters(
    await readEntryCounters(plan),
    countersBefore,
  );
  const requests = before.sent() + burst.length + bookings.sent();
  await Promise.all([beforeStopped, burstStopped, delay(phaseMs)]);
  await after.stop();
  const booked = await bookings.stop();
  const normalMs = computePercentiles(
    listFirstTokenMs(
      before.results().filter((r) => r.sentAtMs < killedAtMs - SETTLE_MS),
    ),
  );

  const answeredPerS = countAnsweredPerS(burst, {
    fromMs: killedAtMs + SETTLE_MS,
    toMs: endMs,
  });
  const all = [...before.results(), ...burst, ...after.results()];
  const outcomes = countOutcomes([...all, ...booked]);
  const figures = {
    goodputShare: answeredPerS / remainingPerS,
    measuredShare: measuredPerS / computedPerS,
    possibleHighShare: Math.min(1, remainingPerS / (offeredPerS * highShare)),
    high: describePriority(burst, high.priority),
    low: describePriority(burst, low.priority),
    retries: describeRetries({
      counters,
      requests,
      entries: entries.length,
      durationMs: endMs - beforeAtMs,
    }),
    recovery: findRecovery(after.results(), {
      fromMs: endMs,
      normalP95Ms: NORMAL_SLOWDOWN * normalMs.p95,
    }),
    outcomes,
    audit: await auditBookings(ledgers.map(endpointUrl), booked),
  };
  const faults = listFaults(figures);
  const misses = listMisses(figures);
  isMet = faults.length + misses.length === 0;
  const report = {
    seed: Number(options.seed),
    capacity_computed_per_s: computedPerS,
    capacity_measured_per_s: measuredPerS,
    capacity_remaining_per_s: remainingPerS,
    offered_per_s: offeredPerS,
    engines_lost: lost.length,
    goodput_per_s: answeredPerS,
    goodput_share: figures.goodputShare,
    first_token_before_ms: normalMs,
    first_token_after_ms: computePercentiles(listFirstTokenMs(after.results())),
    by_priority: { [high.priority]: figures.high, [low.priority]: figures.low },
    retries: figures.retries,
    recovered_answers_ms: figures.recovery.answeredMs,
    recovered_first_token_ms: figures.recovery.firstTokenMs,
    ...outcomes,
    duplicate_runs: figures.audit.duplicateRuns,
    false_not_run: figures.audit.falseNotRun,
    missing_runs: figures.audit.missing,
    reasons_before: countDetails(before.results()),
    reasons_after: countDetails(after.results()),
    reasons_bookings: countDetails(booked),
    faults_of_the_measure: faults,
    targets_missed: misses,
  };
  console.log(JSON.stringify(report, null, options.json ? 0 : 2));
} finally {
  await fleet.close();
}
process.exit(isMet ? 0 : 1);
