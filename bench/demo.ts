/**
 * Demo of a small fleet of separate processes under load: first roll-out, a new
 * model version, a data centre out and back, a killed agent and a killed
 * endpoint. Prints each step and a final table. Exits with 0 if no response was
 * wrong or cut and all bookings ran as reported.
 */

import { auditBookings } from "./booking_audit.ts";
import type { Fleet } from "./fleet.ts";
import { endpointUrl, LEDGER_SERVICE } from "./fleet_hosts.ts";
import type { VersionName } from "./fleet_plan.ts";
import { isServing, readLanguageStatuses } from "./fleet_status.ts";
import { createRandom } from "./random.ts";
import { countDetails, countOutcomes } from "./call_statistics.ts";
import { planTrial } from "./trial_fleet.ts";
import { startBookingLoad, startLanguageLoad } from "./trial_load.ts";

const SEED = 1;
const STREAMS_PER_S = 20;
const BOOKINGS_PER_S = 10;
const STEP_TIMEOUT_MS = 20_000;

const trial = planTrial({
  dataCentres: ["kolkata", "siliguri"],
  regionOf: (dataCentre) => `region-${dataCentre}`,
  modelMib: 2,
  links: { hostMbitPerS: 20, storeMbitPerS: 40, regionMbitPerS: 15 },
  requestsPerS: 200,
});
const startMs = performance.now();

function printProgress(text: string) {
  const seconds = ((performance.now() - startMs) / 1000).toFixed(1);
  console.log(`[${seconds.padStart(5)} s] ${text}`);
}

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

async function waitForVersion(fleet: Fleet, version: VersionName) {
  const digest = fleet.plan.digestOf(version);
  const deadlineMs = performance.now() + STEP_TIMEOUT_MS;
  let lastLine = "";
  for (;;) {
    const statuses = await readLanguageStatuses(fleet.plan, digest);
    const serving = statuses.filter((s) => isServing(s, digest)).length;
    const held = statuses.reduce((sum, s) => sum + s.bytesHeld, 0);
    const percent = Math.floor(
      (100 * held) / (trial.modelBytes * Math.max(1, statuses.length)),
    );
    const line = `${version}: ${percent}% of the bytes received, ${serving} of ${statuses.length} endpoints serving`;
    if (line !== lastLine) printProgress(`  ${line}`);
    lastLine = line;
    if (statuses.length > 0 && serving === statuses.length) return;
    if (performance.now() > deadlineMs) {
      throw new Error(`not all endpoints served ${version} in time`);
    }
    await delay(250);
  }
}

async function runDemo(): Promise<boolean> {
  const { plan } = trial;
  const entries = plan.hosts.filter((host) => host.role === "entry");
  const ledgers = plan.hosts.filter((h) => h.service === LEDGER_SERVICE);

  printProgress(
    "Starting the platform, the weight store, 2 entries, 8 agents, 8 endpoints",
  );
  const fleet = await trial.start();
  try {
    await fleet.publish({ servingVersion: "v1", outDataCentres: [] });
    printProgress("Published a document with version v1");
    await fleet.waitUntilReady(
      entries.map((host) => host.name),
      STEP_TIMEOUT_MS,
    );
    await waitForVersion(fleet, "v1");

    const random = createRandom(SEED);
    const streams = startLanguageLoad({
      plan,
      ratePerS: STREAMS_PER_S,
      random,
      promptCount: 50,
      minTokens: 10,
      lengthCount: 40,
    });
    const bookings = startBookingLoad({
      plan,
      ratePerS: BOOKINGS_PER_S,
      random,
    });
    printProgress(
      `Sending ${STREAMS_PER_S} streams/s and ${BOOKINGS_PER_S} bookings/s`,
    );
    await delay(2_000);

    printProgress("Publishing version v2");
    await fleet.publish({ servingVersion: "v2", outDataCentres: [] });
    await waitForVersion(fleet, "v2");
    await delay(1_000);

    printProgress("Taking data centre siliguri out");
    await fleet.publish({
      servingVersion: "v2",
      outDataCentres: ["siliguri"],
    });
    await delay(3_000);
    printProgress("Bringing data centre siliguri back");
    await fleet.publish({ servingVersion: "v2", outDataCentres: [] });
    await delay(2_000);

    printProgress(
      "Killing the agent of assistant-kolkata-1; starting it again in 2 s",
    );
    fleet.processes().get("assistant-kolkata-1")!.signal("SIGKILL");
    await delay(2_000);
    fleet.startAgent("assistant-kolkata-1");
    await delay(2_000);

    printProgress(
      "Killing the endpoint of assistant-siliguri-1; starting it again in 2 s",
    );
    fleet.processes().get("endpoint-assistant-siliguri-1")!.signal("SIGKILL");
    await delay(2_000);
    await fleet.startEndpoint("assistant-siliguri-1");
    await waitForVersion(fleet, "v2");
    await delay(1_000);

    printProgress("Stopping the load and waiting for the calls in progress");
    const streamResults = await streams.stop();
    const bookingResults = await bookings.stop();
    const audit = await auditBookings(ledgers.map(endpointUrl), bookingResults);

    console.log("");
    console.table({
      streams: { sent: streams.sent(), ...countOutcomes(streamResults) },
      bookings: { sent: bookings.sent(), ...countOutcomes(bookingResults) },
    });
    console.log("Reasons:", {
      ...countDetails(streamResults),
      ...countDetails(bookingResults),
    });
    console.log("Bookings compared with the ledgers:", audit);
    const wrongOrCut = [...streamResults, ...bookingResults].filter(
      (result) => result.outcome === "wrong" || result.outcome === "cut",
    ).length;
    const inconsistentBookings =
      audit.duplicateRuns + audit.falseNotRun + audit.missing;
    console.log(
      `Wrong or cut answers: ${wrongOrCut}. Broken bookings: ${inconsistentBookings}.`,
    );
    return wrongOrCut + inconsistentBookings === 0;
  } finally {
    await fleet.close();
  }
}

const hasPassed = await runDemo().catch((error: unknown) => {
  console.error(error);
  return false;
});
printProgress(hasPassed ? "Done" : "Failed");
process.exit(hasPassed ? 0 : 1);
