/**
 * Measures overload: requests of two priorities arrive at twice the capacity,
 * and a third of the engines is killed as the burst begins, half of them
 * together with their agents. One JSON line reports goodput, outcomes, retries
 * and the time until service is normal again.
 */

import { Command } from "commander";
import { auditBookings } from "./booking_audit.ts";
import {
  computeEngineRequestsPerS,
  computeGoodputPerS,
  startClosedLoad,
} from "./capacity.ts";
import { readEntryCounters, subtractCounters } from "./entry_counters.ts";
import {
  endpointUrl,
  LANGUAGE_SERVICE,
  LEDGER_SERVICE,
} from "./fleet_hosts.ts";
import { ACCOUNTS } from "./fleet_plan.ts";
import { readLanguageStatuses } from "./fleet_status.ts";
import {
  describePriority,
  describeRetries,
  listMeasurementFaults,
  listMissedTargets,
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
} from "./call_statistics.ts";
import { planTrial } from "./trial_fleet.ts";
import {
  sendLanguageCall,
  sendLanguageCallWithRetries,
  startBookingLoad,
  startLanguageLoad,
} from "./trial_load.ts";
import type { LanguageResult } from "./trial_load.ts";

const WARM_CONCURRENCY = 8;
const TOKENS = 50;
/** Large enough that no prompt's prefix is found in a prefix cache. */
const PROMPT_COUNT = 1_000_000_000;
const READY_TIMEOUT_MS = 30_000;
/** Time after a change of load before goodput is measured. */
const SETTLE_MS = 2_000;
/** Delay from the start of the burst, so that the killed engines are full. */
const KILL_AFTER_MS = 500;
const OVERLOAD_FACTOR = 2;
/** Load before and after the burst, as a share of the remaining capacity. */
const NORMAL_LOAD_SHARE = 0.5;
const BOOKINGS_PER_S = 10;
/** Callers for each slot of an engine or of its queue. */
const CALLERS_PER_SLOT = 2;
/** Largest first-token time, relative to before the burst, that is normal. */
const MAX_NORMAL_SLOWDOWN = 2;

const options = new Command()
  .option("--seed <n>", "seed of the load", "1")
  .option("--seconds <n>", "length of each phase", "10")
  .option("--high-share <n>", "share of the high-priority account", "0.25")
  .option("--come-backs <n>", "retries of a refused caller", "0")
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
const killedEngines = engines.filter((_, index) => index % 3 === 0);
const random = createRandom(Number(options.seed));
const phaseMs = Number(options.seconds) * 1000;
const highShare = Number(options.highShare);
const [high, low] = ACCOUNTS as [
  (typeof ACCOUNTS)[number],
  (typeof ACCOUNTS)[number],
];

const callOptions = {
  plan,
  random,
  promptCount: PROMPT_COUNT,
  minTokens: TOKENS,
  lengthCount: 1,
  pickAccount: () => (random() < highShare ? high : low),
};

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

async function waitUntilWarm() {
  const deadlineMs = performance.now() + READY_TIMEOUT_MS;
  for (;;) {
    const statuses = await readLanguageStatuses(plan, plan.digestOf("v1"));
    const warm = statuses.filter((s) => s.phase === "warm").length;
    if (warm === engines.length) return;
    if (performance.now() > deadlineMs)
      throw new Error("not all engines were warm in time");
    await delay(100);
  }
}

/** Saturates the whole fleet, which also warms the engines up. */
async function measureCapacityPerS(): Promise<number> {
  const slots = engines.length * 2 * WARM_CONCURRENCY;
  const load = startClosedLoad({
    callers: CALLERS_PER_SLOT * slots,
    random,
    send: () => sendLanguageCall(callOptions),
  });
  await waitUntilWarm();
  await delay(2 * SETTLE_MS);
  const fromMs = Date.now();
  await delay(phaseMs);
  const toMs = Date.now();
  await load.stop();
  return computeGoodputPerS(load.results(), { fromMs, toMs });
}

const fleet = await trial.start();
let areTargetsMet = false;
try {
  await fleet.publish({ servingVersion: "v1", outDataCentres: [] });
  await fleet.waitUntilReady(
    plan.hosts.map((host) => host.name),
    READY_TIMEOUT_MS,
  );
  const engine = { ...ENGINE_PROFILE, warmCapacity: WARM_CONCURRENCY };
  const computedPerS =
    engines.length * computeEngineRequestsPerS({ engine, tokens: TOKENS });
  const measuredPerS = await measureCapacityPerS();
  const capacityPerS = Math.max(computedPerS, measuredPerS);
  const remainingPerS =
    capacityPerS * (1 - killedEngines.length / engines.length);

  const bookings = startBookingLoad({ plan, random, ratePerS: BOOKINGS_PER_S });
  const normal = {
    ...callOptions,
    ratePerS: NORMAL_LOAD_SHARE * remainingPerS,
  };
  const before = startLanguageLoad(normal);
  const countersBefore = await readEntryCounters(plan);
  const beforeAtMs = Date.now();
  await delay(phaseMs);

  const offeredPerS = OVERLOAD_FACTOR * capacityPerS;
  const beforeStopped = before.stop();
  const burst: LanguageResult[] = [];
  const burstLoad = startLoad({
    ratePerS: offeredPerS,
    random,
    send: () =>
      sendLanguageCallWithRetries(
        callOptions,
        Number(options.comeBacks),
        (result) => burst.push(result),
      ),
  });
  await delay(KILL_AFTER_MS);
  killedEngines.forEach(({ name }, index) => {
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
  const bookingResults = await bookings.stop();
  const firstTokenBeforeMs = computePercentiles(
    listFirstTokenMs(
      before.results().filter((r) => r.sentAtMs < killedAtMs - SETTLE_MS),
    ),
  );

  const answeredPerS = computeGoodputPerS(burst, {
    fromMs: killedAtMs + SETTLE_MS,
    toMs: endMs,
  });
  const languageResults = [...before.results(), ...burst, ...after.results()];
  const outcomes = countOutcomes([...languageResults, ...bookingResults]);
  const figures = {
    goodputShare: answeredPerS / remainingPerS,
    measuredCapacityShare: measuredPerS / computedPerS,
    achievableHighShare: Math.min(1, remainingPerS / (offeredPerS * highShare)),
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
      normalP95Ms: MAX_NORMAL_SLOWDOWN * firstTokenBeforeMs.p95,
    }),
    outcomes,
    audit: await auditBookings(ledgers.map(endpointUrl), bookingResults),
  };
  const faults = listMeasurementFaults(figures);
  const missedTargets = listMissedTargets(figures);
  areTargetsMet = faults.length + missedTargets.length === 0;
  const report = {
    seed: Number(options.seed),
    capacity_computed_per_s: computedPerS,
    capacity_measured_per_s: measuredPerS,
    capacity_remaining_per_s: remainingPerS,
    offered_per_s: offeredPerS,
    engines_lost: killedEngines.length,
    goodput_per_s: answeredPerS,
    goodput_share: figures.goodputShare,
    first_token_before_ms: firstTokenBeforeMs,
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
    reasons_bookings: countDetails(bookingResults),
    faults_of_the_measure: faults,
    targets_missed: missedTargets,
  };
  console.log(JSON.stringify(report, null, options.json ? 0 : 2));
} finally {
  await fleet.close();
}
process.exit(areTargetsMet ? 0 : 1);
