/**
 * Takes a data centre out and back in under steady load. One JSON line reports
 * callers' outcomes and when the last new request reached the data centre.
 */

import { Command } from "commander";
import { request } from "undici";
import { auditBookings } from "./booking_audit.ts";
import type { CallResult } from "./call.ts";
import { endpointUrl, LANGUAGE_SERVICE } from "./fleet_hosts.ts";
import { LEDGER_SERVICE } from "./fleet_hosts.ts";
import type { PlannedHost } from "./fleet_plan.ts";
import { waitUntilServing } from "./fleet_status.ts";
import { createRandom } from "./random.ts";
import {
  computePercentiles,
  countDetails,
  countOutcomes,
} from "./call_statistics.ts";
import { planTrial } from "./trial_fleet.ts";
import { startBookingLoad, startLanguageLoad } from "./trial_load.ts";

const STREAMS_PER_S = 30;
const BOOKINGS_PER_S = 10;
const READY_TIMEOUT_MS = 30_000;
const POLL_MS = 20;
const OUT_DATA_CENTRE = "siliguri";

const options = new Command()
  .option("--seed <n>", "seed of the load", "1")
  .option("--seconds <n>", "length of each of the three phases", "8")
  .option("--json", "print one JSON line")
  .parse()
  .opts<{ seed: string; seconds: string; json?: boolean }>();

const trial = planTrial({
  dataCentres: ["kolkata", OUT_DATA_CENTRE, "bardhaman"],
  requestsPerS: 1_000,
});
const { plan } = trial;

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Number of requests that these endpoints have started so far. */
async function countStarted(hosts: readonly PlannedHost[]): Promise<number> {
  const counts = await Promise.all(
    hosts.map(async (host) => {
      const isEngine = host.service === LANGUAGE_SERVICE;
      const path = isEngine ? "/admin/counters" : "/admin/runs";
      const { body } = await request(`${endpointUrl(host)}${path}`);
      const json = (await body.json()) as Record<string, number>;
      return isEngine
        ? json["started"]!
        : Object.values(json).reduce((sum, runs) => sum + runs, 0);
    }),
  );
  return counts.reduce((sum, count) => sum + count, 0);
}

/**
 * Polls the endpoints' counters. The returned function stops polling and
 * resolves with the time, from this call, at which a request last started.
 */
async function trackDispatches(hosts: readonly PlannedHost[]) {
  let lastCount = await countStarted(hosts);
  const trackingStartMs = performance.now();
  let lastStartMs = 0;
  let isRunning = true;
  const task = (async () => {
    while (isRunning) {
      await delay(POLL_MS);
      const count = await countStarted(hosts);
      if (count !== lastCount)
        lastStartMs = performance.now() - trackingStartMs;
      lastCount = count;
    }
  })();
  return async () => {
    isRunning = false;
    await task;
    return lastStartMs;
  };
}

const fleet = await trial.start();
try {
  await fleet.publish({ servingVersion: "v1", outDataCentres: [] });
  const entries = plan.hosts.filter((host) => host.role === "entry");
  const outEndpoints = plan.hosts.filter(
    (host) => host.dataCentre === OUT_DATA_CENTRE && host.role === "endpoint",
  );
  const ledgers = plan.hosts.filter((h) => h.service === LEDGER_SERVICE);
  await fleet.waitUntilReady(
    entries.map((host) => host.name),
    READY_TIMEOUT_MS,
  );
  await waitUntilServing(plan, "v1", { timeoutMs: READY_TIMEOUT_MS });

  const random = createRandom(Number(options.seed));
  const streams = startLanguageLoad({
    plan,
    ratePerS: STREAMS_PER_S,
    random,
    promptCount: 200,
    minTokens: 10,
    lengthCount: 60,
  });
  const bookings = startBookingLoad({ plan, ratePerS: BOOKINGS_PER_S, random });
  const phaseMs = Number(options.seconds) * 1000;
  // The endpoints warm up under the load before the measurement starts.
  await delay(6_000);
  const measuredFromMs = Date.now();
  await delay(phaseMs);

  const outAtMs = Date.now();
  const stopTracking = await trackDispatches(outEndpoints);
  await fleet.publish({
    servingVersion: "v1",
    outDataCentres: [OUT_DATA_CENTRE],
  });
  await delay(phaseMs);
  const lastNewDispatchMs = await stopTracking();

  const backAtMs = Date.now();
  const returnStartMs = performance.now();
  const startedBefore = await countStarted(outEndpoints);
  await fleet.publish({ servingVersion: "v1", outDataCentres: [] });
  while ((await countStarted(outEndpoints)) === startedBefore)
    await delay(POLL_MS);
  const recoveredMs = performance.now() - returnStartMs;
  await delay(phaseMs);

  const streamResults = await streams.stop();
  const bookingResults = await bookings.stop();
  const audit = await auditBookings(ledgers.map(endpointUrl), bookingResults);
  const computeFirstTokenMs = (fromMs: number, toMs: number) =>
    computePercentiles(
      streamResults.flatMap((result: CallResult) =>
        result.firstTokenMs !== undefined &&
        result.sentAtMs >= fromMs &&
        result.sentAtMs < toMs
          ? [result.firstTokenMs]
          : [],
      ),
    );
  const outcomes = countOutcomes([...streamResults, ...bookingResults]);
  const report = {
    seed: Number(options.seed),
    sent: streamResults.length + bookingResults.length,
    ...outcomes,
    duplicate_runs: audit.duplicateRuns,
    false_not_run: audit.falseNotRun,
    missing_runs: audit.missing,
    last_new_dispatch_ms: lastNewDispatchMs,
    first_token_before_ms: computeFirstTokenMs(measuredFromMs, outAtMs),
    first_token_during_ms: computeFirstTokenMs(outAtMs, backAtMs),
    first_token_after_ms: computeFirstTokenMs(backAtMs, Infinity),
    recovered_ms: recoveredMs,
    reasons: countDetails([...streamResults, ...bookingResults]),
  };
  console.log(JSON.stringify(report, null, options.json ? 0 : 2));
} finally {
  await fleet.close();
}
process.exit(0);
