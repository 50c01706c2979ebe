/**
 * A data centre leaves and returns under steady load. One JSON line tells what
 * callers saw and when the last new request reached the data centre.
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
import { computePercentiles, countDetails, countOutcomes } from "./tally.ts";
import { planTrial } from "./trial_fleet.ts";
import { startBookingLoad, startLanguageLoad } from "./trial_load.ts";

const STREAMS_PER_S = 30;
const BOOKINGS_PER_S = 10;
const READY_LIMIT_MS = 30_000;
const POLL_MS = 20;
const OUT = "siliguri";

const options = new Command()
  .option("--seed <n>", "seed of the load", "1")
  .option("--seconds <n>", "length of each of the three phases", "8")
  .option("--json", "print one JSON line")
  .parse()
  .opts<{ seed: string; seconds: string; json?: boolean }>();

const trial = planTrial({
  dataCentres: ["kolkata", OUT, "bardhaman"],
  requestsPerS: 1_000,
});
const { plan } = trial;

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Requests that the endpoints of a data centre have started so far. */
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

/** Follows a data centre's endpoints; tells when one last started work. */
async function watchDispatches(hosts: readonly PlannedHost[]) {
  let before = await countStarted(hosts);
  const fromMs = performance.now();
  let lastAtMs = 0;
  let isOn = true;
  const task = (async () => {
    while (isOn) {
      await delay(POLL_MS);
      const now = await countStarted(hosts);
      if (now !== before) lastAtMs = performance.now() - fromMs;
      before = now;
    }
  })();
  return async () => {
    isOn = false;
    await task;
    return lastAtMs;
  };
}

const fleet = await trial.start();
try {
  await fleet.publish({ servingVersion: "v1", outDataCentres: [] });
  const entries = plan.hosts.filter((host) => host.role === "entry");
  const leaving = plan.hosts.filter(
    (host) => host.dataCentre === OUT && host.role === "endpoint",
  );
  const ledgers = plan.hosts.filter((h) => h.service === LEDGER_SERVICE);
  await fleet.waitUntilReady(
    entries.map((host) => host.name),
    READY_LIMIT_MS,
  );
  await waitUntilServing(plan, "v1", { limitMs: READY_LIMIT_MS });

  const random = createRandom(Number(options.seed));
  const streams = startLanguageLoad({
    plan,
    ratePerS: STREAMS_PER_S,
    random,
    prompts: 200,
    minTokens: 10,
    lengths: 60,
  });
  const bookings = startBookingLoad({ plan, ratePerS: BOOKINGS_PER_S, random });
  const phaseMs = Number(options.seconds) * 1000;
  // The endpoints warm up under the load before anything is measured.
  await delay(6_000);
  const measuredFromMs = Date.now();
  await delay(phaseMs);

  const outAtMs = Date.now();
  const stopWatch = await watchDispatches(leaving);
  await fleet.publish({ servingVersion: "v1", outDataCentres: [OUT] });
  await delay(phaseMs);
  const lastNewDispatchMs = await stopWatch();

  const backAtMs = Date.now();
  const backFromMs = performance.now();
  const startedBefore = await countStarted(leaving);
  await fleet.publish({ servingVersion: "v1", outDataCentres: [] });
  while ((await countStarted(leaving)) === startedBefore) await delay(POLL_MS);
  const recoveredMs = performance.now() - backFromMs;
  await delay(phaseMs);

  const all = await streams.stop();
  const booked = await bookings.stop();
  const audit = await auditBookings(ledgers.map(endpointUrl), booked);
  const within = (fromMs: number, toMs: number) =>
    computePercentiles(
      all.flatMap((result: CallResult) =>
        result.firstTokenMs !== undefined &&
        result.sentAtMs >= fromMs &&
        result.sentAtMs < toMs
          ? [result.firstTokenMs]
          : [],
      ),
    );
  const outcomes = countOutcomes([...all, ...booked]);
  const report = {
    seed: Number(options.seed),
    sent: all.length + booked.length,
    ...outcomes,
    duplicate_runs: audit.duplicateRuns,
    false_not_run: audit.falseNotRun,
    missing_runs: audit.missing,
    last_new_dispatch_ms: lastNewDispatchMs,
    first_token_before_ms: within(measuredFromMs, outAtMs),
    first_token_during_ms: within(outAtMs, backAtMs),
    first_token_after_ms: within(backAtMs, Infinity),
    recovered_ms: recoveredMs,
    reasons: countDetails([...all, ...booked]),
  };
  console.log(JSON.stringify(report, null, options.json ? 0 : 2));
} finally {
  await fleet.close();
}
process.exit(0);
