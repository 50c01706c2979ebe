/**
 * Entries whose open connections to the store go silent, some of which are
 * paused as well, while endpoints leave without a notice. Seeds by hand:
 * SOAK_SEEDS=1,2,3 and SOAK_ROUNDS=20.
 */

import { afterEach, beforeAll, expect, test } from "@jest/globals";
import {
  callGateway,
  FIRST_KEY,
  startPlatformFleet,
} from "../../stand_ins/users_platform/mod.ts";
import type { PlatformFleet } from "../../stand_ins/users_platform/mod.ts";
import { buildPrograms } from "../build_programs.ts";
import { createRandom, drawFrom } from "../seeded_random.ts";
import { waitUntil } from "../wait_until.ts";

const SEEDS = (process.env["SOAK_SEEDS"] ?? "1").split(",").map(Number);
const ROUNDS = Number(process.env["SOAK_ROUNDS"] ?? "4");
const GATEWAYS = 5;
const WORKERS = 3;
const MAX_PAUSED = 2;
/** After a disturbance, the rules hold for a process again. */
const CONTACT_MS = 3_050;
/** From the removal of an endpoint to the last request sent there. */
const DRAIN_MS = 2_000;
/** Delays of this process, which also plays the workers. */
const TOLERANCE_MS = 50;
const SERVES_ON_MS = 2_800;
const SECOND_SILENCE_MS = { min: 200, max: 2_500 };
const PAUSE_START_MS = { min: 0, max: 1_200 };
const PAUSE_MS = { min: 500, max: 2_500 };
const HEARTBEAT_MS = 1_200;
const CALL_INTERVAL_MS = 15;
const CALL_TIMEOUT_MS = 3_000;
const ROUND_MS = SECOND_SILENCE_MS.max + CONTACT_MS + SERVES_ON_MS + 2_000;

let fleet: PlatformFleet | undefined;
const stoppers: (() => void)[] = [];

beforeAll(() => buildPrograms(), 120_000);

afterEach(async () => {
  stoppers.splice(0).forEach((stop) => stop());
  await fleet?.close();
  fleet = undefined;
});

const wait = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

function callSteadily(started: PlatformFleet) {
  let calls = 0;
  const timer = setInterval(() => {
    const gateway = calls % GATEWAYS;
    calls += 1;
    void callGateway({
      url: started.gateways[gateway]!.callerUrl,
      attemptId: `g${gateway}-${calls}`,
      apiKey: FIRST_KEY,
      remainingMs: CALL_TIMEOUT_MS,
    });
  }, CALL_INTERVAL_MS);
  stoppers.push(() => clearInterval(timer));
}

/** Renews what the store lists of the workers, as long as they are listed. */
function sendHeartbeats(started: PlatformFleet, listed: ReadonlySet<string>) {
  let seq = 1;
  const timer = setInterval(() => {
    seq += 1;
    started.workers
      .filter(({ id }) => listed.has(id))
      .forEach(({ id, address }) =>
        started.putEndpoint({ id, address, version: 1, seq }),
      );
  }, HEARTBEAT_MS);
  return () => clearInterval(timer);
}

async function start() {
  const started = await startPlatformFleet({
    gateways: GATEWAYS,
    workers: Array.from({ length: WORKERS }, () => 1),
    gatewayDataCentres: ["kol-a", "sil-a"],
    hasStoreRelays: true,
  });
  fleet = started;
  callSteadily(started);
  await waitUntil("all workers are in use", () =>
    started.workers.every(({ startedAttemptIds }) => startedAttemptIds.length),
  );
  await wait(2_000);
  return started;
}

// Guards against requests that reach an endpoint over 2 s after its removal: the
// delay until it was known and the time for which it was held back added up.
test.each(SEEDS)(
  "endpoints that leave get no late requests beside silent connections and paused entries (seed %d)",
  async (seed) => {
    const random = createRandom(seed);
    const started = await start();
    const listed = new Set(started.workers.map(({ id }) => id));
    const late: string[] = [];
    const lasts: number[] = [];

    async function pauseSome(): Promise<ReadonlySet<number>> {
      const paused = new Set(
        Array.from({ length: Math.floor(random() * (MAX_PAUSED + 1)) }, () =>
          Math.floor(random() * GATEWAYS),
        ),
      );
      paused.forEach((index) => {
        const child = started.gateways[index]!.process;
        child.kill("SIGSTOP");
        const resume = () => void child.kill("SIGCONT");
        setTimeout(resume, drawFrom(random, PAUSE_MS));
      });
      await wait(drawFrom(random, PAUSE_START_MS));
      return paused;
    }

    async function playRound(round: number) {
      const stopHeartbeats =
        random() < 0.5 ? sendHeartbeats(started, listed) : () => {};
      const silence = () => started.storeRelays.forEach((r) => r.silence());
      silence();
      if (random() < 0.5) {
        await wait(drawFrom(random, SECOND_SILENCE_MS));
        silence();
      }
      await wait(CONTACT_MS);
      const paused = await pauseSome();
      const { id, address, receivedAttemptIds, arrivalsMs } =
        started.workers[round % WORKERS]!;
      listed.delete(id);
      started.store.remove(`servers/${id}`);
      const removedAtMs = performance.now();
      await wait(SERVES_ON_MS);
      const arrivals = receivedAttemptIds
        .map((attempt, index) => ({
          attempt,
          afterMs: Math.round(arrivalsMs[index]! - removedAtMs),
        }))
        .filter(({ attempt }) => !paused.has(Number(attempt[1])));
      // Otherwise the round shows nothing.
      expect(arrivals.some(({ afterMs }) => afterMs > -CONTACT_MS)).toBe(true);
      lasts.push(Math.max(0, ...arrivals.map(({ afterMs }) => afterMs)));
      arrivals
        .filter(({ afterMs }) => afterMs > DRAIN_MS + TOLERANCE_MS)
        .forEach(({ attempt, afterMs }) =>
          late.push(`round ${round}: ${attempt} after ${afterMs} ms`),
        );
      stopHeartbeats();
      started.putEndpoint({ id, address, version: 1, seq: 1 });
      listed.add(id);
      await wait(1_000);
    }

    for (let round = 0; round < ROUNDS; round += 1) await playRound(round);
    if (process.env["SOAK_SEEDS"] !== undefined) {
      console.info(`seed ${seed}: last requests after ${lasts.join(", ")} ms`);
    }
    expect(late).toEqual([]);
  },
  60_000 + ROUNDS * ROUND_MS,
);
