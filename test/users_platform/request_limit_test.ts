/** Endpoints that name in their answers how many requests they take. */

import { afterEach, beforeAll, expect, test } from "@jest/globals";
import {
  callGateway,
  FIRST_KEY,
  startPlatformFleet,
} from "../../stand_ins/users_platform/mod.ts";
import type {
  AttemptResult,
  PlatformFleet,
  WorkerStandIn,
} from "../../stand_ins/users_platform/mod.ts";
import { buildPrograms } from "../build_programs.ts";
import { waitUntil } from "../wait_until.ts";

const GATEWAYS = 6;
const CALL_TIMEOUT_MS = 6_000;
/** Between calls: 60 a second. */
const CALL_INTERVAL_MS = 1_000 / 60;
/** From the first naming until the limit must be kept. */
const CONTACT_MS = 3_000;
const MEASURED_MS = 9_000;
const WINDOW_MS = 4_000;

let fleet: PlatformFleet | undefined;

beforeAll(() => buildPrograms(), 120_000);

afterEach(async () => {
  await fleet?.close();
  fleet = undefined;
});

const wait = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

async function startFleet(workers: number) {
  const started = await startPlatformFleet({
    gateways: GATEWAYS,
    workers: Array.from({ length: workers }, () => 1),
  });
  fleet = started;
  let calls = 0;
  const call = (gateway: number) => {
    calls += 1;
    return callGateway({
      url: started.gateways[gateway]!.callerUrl,
      attemptId: `c${calls}`,
      apiKey: FIRST_KEY,
      remainingMs: CALL_TIMEOUT_MS,
    });
  };
  await Promise.all(
    started.gateways.map((_, index) =>
      waitUntil(
        `entry ${index} answers`,
        async () => (await call(index)).status === 200,
      ),
    ),
  );
  return { ...started, call };
}

/** Calls these gateways in turn until `forMs` have passed. */
async function callSteadily(
  call: (gateway: number) => Promise<AttemptResult>,
  options: { readonly gateways: readonly number[]; readonly forMs: number },
): Promise<readonly AttemptResult[]> {
  const { gateways, forMs } = options;
  const startedAtMs = performance.now();
  const pending: Promise<AttemptResult>[] = [];
  while (performance.now() - startedAtMs < forMs) {
    pending.push(call(gateways[pending.length % gateways.length]!));
    await wait(
      startedAtMs + pending.length * CALL_INTERVAL_MS - performance.now(),
    );
  }
  return Promise.all(pending);
}

/** Most arrivals in any window after `fromMs`. */
function countMostArrivals(worker: WorkerStandIn, fromMs: number): number {
  const times = worker.arrivalsMs.filter((atMs) => atMs >= fromMs);
  return times.reduce((most, startMs, index) => {
    const end = times.findIndex((atMs) => atMs >= startMs + WINDOW_MS);
    return Math.max(most, (end < 0 ? times.length : end) - index);
  }, 0);
}

/** Of the named rate, while there is more demand; less is a loss for callers. */
const MIN_USED_PART = 0.7;

/** What the platform allows in a window. */
const countAllowed = (limitPerS: number) =>
  1.5 * limitPerS * (WINDOW_MS / 1_000) + 5;

const isServed = ({ status, isWhole }: AttemptResult) =>
  status === 200 && isWhole;

const ALL_GATEWAYS = Array.from({ length: GATEWAYS }, (_, index) => index);

// Guards against entries that send an endpoint in need as much as before,
// together more than it has named.
test.each([
  { what: "one of four", limits: [1.6], gateways: ALL_GATEWAYS },
  { what: "another one, through one entry", limits: [0, 1], gateways: [0] },
  { what: "all four", limits: [5, 5, 5, 5], gateways: ALL_GATEWAYS },
])(
  "endpoints get no more requests than they name, $what",
  async ({ limits, gateways }) => {
    const { workers, call } = await startFleet(4);
    const limited = limits
      .map((limitPerS, index) => ({ limitPerS, worker: workers[index]! }))
      .filter(({ limitPerS }) => limitPerS > 0);
    limited.forEach(({ worker, limitPerS }) => {
      worker.faults.requestLimit = String(limitPerS);
    });
    const namedAtMs = performance.now();
    const answers = await callSteadily(call, {
      gateways,
      forMs: CONTACT_MS + MEASURED_MS,
    });
    const fromMs = namedAtMs + CONTACT_MS;
    const excess = limited.map(
      ({ worker, limitPerS }) =>
        countMostArrivals(worker, fromMs) - countAllowed(limitPerS),
    );
    expect(Math.max(...excess)).toBeLessThanOrEqual(0);
    const usedParts = limited.map(({ worker, limitPerS }) => {
      const arrivals = worker.arrivalsMs.filter((atMs) => atMs >= fromMs);
      return arrivals.length / (limitPerS * (MEASURED_MS / 1_000));
    });
    expect(Math.min(...usedParts)).toBeGreaterThanOrEqual(MIN_USED_PART);
    const rejected = answers.filter(({ status }) => status === 503);
    const served = answers.filter(isServed);
    expect(served.length + rejected.length).toBe(answers.length);
    if (limited.length < workers.length) {
      expect(served.length / answers.length).toBeGreaterThan(0.98);
    } else {
      rejected.forEach(({ retryAfterMs }) => {
        expect(retryAfterMs).toBeGreaterThan(0);
        expect(retryAfterMs).toBeLessThan(CALL_TIMEOUT_MS);
      });
    }
  },
  60_000,
);

// Guards against an endpoint that is left out for good: an entry without a
// permit gets no response from which it could hear the end of the limit.
test("an endpoint gets its share of the requests again after its limit has ended", async () => {
  const { workers, call } = await startFleet(4);
  workers.forEach(({ faults }) => (faults.requestLimit = "0"));
  await callSteadily(call, { gateways: ALL_GATEWAYS, forMs: 3_000 });
  workers.forEach(({ faults }) => (faults.requestLimit = undefined));
  // At 0 requests a second each endpoint is tried every 6 s.
  await callSteadily(call, { gateways: ALL_GATEWAYS, forMs: 8_000 });
  const before = workers.map(({ arrivalsMs }) => arrivalsMs.length);
  const answers = await callSteadily(call, {
    gateways: ALL_GATEWAYS,
    forMs: 4_000,
  });
  const shares = workers.map(
    ({ arrivalsMs }, index) =>
      (arrivalsMs.length - before[index]!) / answers.length,
  );
  expect(Math.min(...shares)).toBeGreaterThan(0.1);
  expect(answers.filter(isServed)).toHaveLength(answers.length);
}, 60_000);

// Guards against entries that exceed the limit, or leave the endpoint out, when
// the agent that counts for them ends.
test("an endpoint whose agent ends gets no more requests than it names, and some", async () => {
  const limitPerS = 5;
  const { workers, processes, call } = await startFleet(2);
  const [limited] = workers;
  limited!.faults.requestLimit = String(limitPerS);
  const namedAtMs = performance.now();
  const forMs = CONTACT_MS;
  await callSteadily(call, { gateways: ALL_GATEWAYS, forMs });
  const agents = processes.filter(({ program }) => program === "sidecar");
  agents[0]!.child.kill("SIGKILL");
  await callSteadily(call, { gateways: ALL_GATEWAYS, forMs: 2 * WINDOW_MS });
  const most = countMostArrivals(limited!, namedAtMs + CONTACT_MS);
  expect(most).toBeLessThanOrEqual(countAllowed(limitPerS));
  const lateMs = performance.now() - WINDOW_MS;
  expect(limited!.arrivalsMs.some((atMs) => atMs > lateMs)).toBe(true);
}, 60_000);
