/**
 * A small fleet of separate processes under load: first roll-out, a new model
 * version, a data centre out and back, a killed agent and a killed endpoint.
 * Prints what happens and a closing table; exit 0 if nothing was wrong or cut.
 */

import { auditBookings } from "./booking_audit.ts";
import { sendCompletion } from "./call.ts";
import { startFleet } from "./fleet.ts";
import type { Fleet } from "./fleet.ts";
import { endpointUrl, LEDGER_SERVICE, processUrl } from "./fleet_hosts.ts";
import { ACCOUNTS, planFleet } from "./fleet_plan.ts";
import type { VersionName } from "./fleet_plan.ts";
import { isServing, readLanguageStatus } from "./fleet_status.ts";
import { sendKeyedBooking } from "./keyed_booking.ts";
import { startLoad } from "./load.ts";
import {
  COLD_CONCURRENCY,
  ENGINE_PROFILE,
  WARM_CONCURRENCY,
} from "./profiles.ts";
import { createRandom, pickOne } from "./random.ts";
import { countDetails, countOutcomes } from "./tally.ts";

const SEED = 1;
const STREAMS_PER_S = 20;
const BOOKINGS_PER_S = 10;
const STEP_LIMIT_MS = 20_000;
const MODEL_BYTES = 2 * 1024 * 1024;

const startMs = performance.now();

function say(text: string) {
  const seconds = ((performance.now() - startMs) / 1000).toFixed(1);
  console.log(`[${seconds.padStart(5)} s] ${text}`);
}

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

async function waitForVersion(fleet: Fleet, version: VersionName) {
  const digest = fleet.plan.digestOf(version);
  const deadlineMs = performance.now() + STEP_LIMIT_MS;
  let shown = "";
  for (;;) {
    const statuses = await readLanguageStatus(fleet.plan, digest);
    const serving = statuses.filter((s) => isServing(s, digest)).length;
    const held = statuses.reduce((sum, s) => sum + s.bytesHeld, 0);
    const percent = Math.floor(
      (100 * held) / (MODEL_BYTES * Math.max(1, statuses.length)),
    );
    const line = `${version}: ${percent}% of the bytes held, ${serving} of ${statuses.length} endpoints serving`;
    if (line !== shown) say(`  ${line}`);
    shown = line;
    if (statuses.length > 0 && serving === statuses.length) return;
    if (performance.now() > deadlineMs) {
      throw new Error(`${version} did not serve everywhere in time`);
    }
    await delay(250);
  }
}

async function runDemo(): Promise<boolean> {
  const plan = planFleet({
    dataCentres: ["kolkata", "siliguri"].map((name) => ({
      name,
      region: `region-${name}`,
      entries: 1,
      languageEndpoints: 3,
      ledgerEndpoints: 1,
    })),
    files: { sizeBytes: MODEL_BYTES, chunkBytes: 64 * 1024 },
    hostMbitPerS: 20,
    storeMbitPerS: 40,
    regionMbitPerS: 15,
    coldConcurrency: COLD_CONCURRENCY,
    warmConcurrency: WARM_CONCURRENCY,
    requestsPerS: 200,
  });
  const entries = plan.hosts.filter((host) => host.role === "entry");
  const ledgers = plan.hosts.filter((h) => h.service === LEDGER_SERVICE);

  say(
    "Starting the platform, the weight store, 2 entries, 8 agents, 8 endpoints",
  );
  const fleet = await startFleet({
    plan,
    engine: ENGINE_PROFILE,
    storeMbitPerS: 40,
    weightsPolicy: "swarm",
    weightsMemoryBytes: 4 * MODEL_BYTES,
    hostsLagMs: 1_000,
    ledgerWorkMs: 20,
  });
  try {
    await fleet.publish({ servingVersion: "v1", outDataCentres: [] });
    say("Published a document with version v1");
    await fleet.waitUntilReady(
      entries.map((host) => host.name),
      STEP_LIMIT_MS,
    );
    await waitForVersion(fleet, "v1");

    const random = createRandom(SEED);
    const pickUrl = () => processUrl(pickOne(random, entries));
    const streams = startLoad({
      ratePerS: STREAMS_PER_S,
      random,
      send: () =>
        sendCompletion({
          baseUrl: pickUrl(),
          account: pickOne(random, ACCOUNTS),
          prompt: `Quotation ${Math.floor(random() * 50)}`,
          maxTokens: 10 + Math.floor(random() * 40),
        }),
    });
    const bookings = startLoad({
      ratePerS: BOOKINGS_PER_S,
      random,
      send: () => sendKeyedBooking(pickUrl(), random),
    });
    say(`Sending ${STREAMS_PER_S} streams/s and ${BOOKINGS_PER_S} bookings/s`);
    await delay(2_000);

    say("Publishing version v2");
    await fleet.publish({ servingVersion: "v2", outDataCentres: [] });
    await waitForVersion(fleet, "v2");
    await delay(1_000);

    say("Taking data centre siliguri out");
    await fleet.publish({
      servingVersion: "v2",
      outDataCentres: ["siliguri"],
    });
    await delay(3_000);
    say("Bringing data centre siliguri back");
    await fleet.publish({ servingVersion: "v2", outDataCentres: [] });
    await delay(2_000);

    say("Killing the agent of assistant-kolkata-1; starting it again in 2 s");
    fleet.processes().get("assistant-kolkata-1")!.signal("SIGKILL");
    await delay(2_000);
    fleet.startAgent("assistant-kolkata-1");
    await delay(2_000);

    say(
      "Killing the endpoint of assistant-siliguri-1; starting it again in 2 s",
    );
    fleet.processes().get("endpoint-assistant-siliguri-1")!.signal("SIGKILL");
    await delay(2_000);
    await fleet.startEndpoint("assistant-siliguri-1");
    await waitForVersion(fleet, "v2");
    await delay(1_000);

    say("Stopping the load and waiting for the calls in progress");
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
    const broken = audit.duplicateRuns + audit.falseNotRun + audit.missing;
    console.log(
      `Wrong or cut answers: ${wrongOrCut}. Broken bookings: ${broken}.`,
    );
    return wrongOrCut + broken === 0;
  } finally {
    await fleet.close();
  }
}

const isClean = await runDemo().catch((error: unknown) => {
  console.error(error);
  return false;
});
say(isClean ? "Done" : "Failed");
process.exit(isClean ? 0 : 1);
