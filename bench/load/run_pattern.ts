/** Runs one pattern with one policy and one seed in simulated time. */

import { createRandom } from "../random.ts";
import { startAgents } from "./agents.ts";
import { applyPattern } from "./apply_pattern.ts";
import { scheduleCalls } from "./calls.ts";
import type { FinishedCall, Visit } from "./calls.ts";
import { computeReserves, createColdShares } from "./cold_shares.ts";
import type { Deployment } from "./deployments.ts";
import { drawRequests } from "./draw_requests.ts";
import { createEndpoints } from "./endpoints.ts";
import type { SimulatedEndpoint } from "./endpoints.ts";
import { createEntry } from "./entry.ts";
import type { CreateEntryPolicy } from "./entry_policy.ts";
import { createEventQueue } from "./event_queue.ts";
import type { EventQueue } from "./event_queue.ts";
import { createOffer } from "./network.ts";
import { END_OF_ARRIVALS_MS, SETTLE_MS } from "./patterns.ts";
import type { Pattern } from "./patterns.ts";
import { createUpperBound } from "./upper_bound.ts";

/** Longer than agents wait after their start before they lend. */
const START_MS = -4_000;
/** Keeps the random numbers of the parts apart. */
const SEED_STEP = 1_000_003;

export interface RunOptions {
  readonly deployment: Deployment;
  readonly pattern: Pattern;
  readonly seed: number;
  /** Undefined for the upper bound. */
  readonly createPolicy: CreateEntryPolicy | undefined;
}

export interface RunResult {
  /** Of the measured time. */
  readonly calls: readonly FinishedCall[];
  /** Requests that arrived at a model endpoint between two of its reports. */
  readonly herds: readonly number[];
  readonly decisionsUs: readonly number[];
  /** Share of the plain requests that arrived at a slow endpoint. */
  readonly slowPlainShare: number;
}

export function runPattern(options: RunOptions): RunResult {
  const { deployment, pattern, seed, createPolicy } = options;
  const queue = createEventQueue(START_MS);
  const createStream = (number: number) =>
    createRandom(seed + number * SEED_STEP);
  const endpoints = createEndpoints(deployment, queue);
  const requests = drawRequests(deployment, pattern, seed);
  const calls: FinishedCall[] = [];
  const decisionsUs: number[] = [];
  const herds: number[] = [];
  let openCalls = requests.length;
  const isRunning = () => openCalls > 0;

  applyPattern(pattern, { endpoints, queue, random: createStream(1) });
  const entryDataCentres = Array.from(
    { length: deployment.entries },
    (_, index) => index % deployment.dataCentres,
  );
  const visit =
    createPolicy === undefined
      ? createCentralVisit({ queue, endpoints, isRunning })
      : createEntries({
          deployment,
          queue,
          endpoints,
          entryDataCentres,
          createPolicy,
          createStream,
          isRunning,
          onDecision: (durationUs) => void decisionsUs.push(durationUs),
          onInterval: countHerds(queue, herds),
        });
  scheduleCalls(requests, {
    queue,
    random: createStream(2),
    entryDataCentres,
    visit,
    onFinished(call) {
      openCalls -= 1;
      if (call.request.atMs >= SETTLE_MS) calls.push(call);
    },
  });
  queue.run();
  return {
    calls,
    herds,
    decisionsUs,
    slowPlainShare: computeSlowPlainShare(endpoints),
  };
}

type VisitEntry = (entry: number, visit: Visit) => void;

function createCentralVisit(
  options: Parameters<typeof createUpperBound>[0],
): VisitEntry {
  const scheduler = createUpperBound(options);
  return (_, visit) => scheduler.handle(visit);
}

function createEntries(options: {
  readonly deployment: Deployment;
  readonly queue: EventQueue;
  readonly endpoints: readonly SimulatedEndpoint[];
  readonly entryDataCentres: readonly number[];
  readonly createPolicy: CreateEntryPolicy;
  readonly createStream: (number: number) => () => number;
  readonly isRunning: () => boolean;
  readonly onDecision: (durationUs: number) => void;
  readonly onInterval: (endpoint: SimulatedEndpoint) => void;
}): VisitEntry {
  const { deployment, queue, endpoints, createStream } = options;
  const { nowMs } = queue;
  const names = options.entryDataCentres.map((_, index) => `entry-${index}`);
  const reserves = computeReserves(deployment, endpoints, names);
  const entries = options.entryDataCentres.map((dataCentre, index) => {
    const name = names[index]!;
    const shares = createColdShares({ deployment, nowMs, name, reserves });
    const policy = options.createPolicy({
      deployment,
      dataCentre,
      endpoints,
      nowMs,
      random: createStream(4 + index),
      hasColdCapacity: (endpoint) => shares.hasCapacity(endpoints[endpoint]!),
      isReachable: (endpoint) => shares.isReachable(endpoints[endpoint]!),
    });
    const entry = createEntry({
      policy,
      queue,
      entryCount: names.length,
      onDecision: options.onDecision,
      countSent: (endpoint) => shares.count(endpoints[endpoint]!),
      offer: createOffer({ queue, deployment, endpoints, dataCentre }),
    });
    return { name, dataCentre, policy, rateLimits: shares.rateLimits, entry };
  });
  startAgents({
    deployment,
    endpoints,
    entries,
    queue,
    random: createStream(3),
    isRunning: options.isRunning,
    onInterval: options.onInterval,
  });
  return (index, visit) => entries[index]!.entry.handle(visit);
}

/** Counts the arrivals since the former report, in the measured time. */
function countHerds(queue: EventQueue, herds: number[]) {
  const formerArrivals = new Map<SimulatedEndpoint, number>();
  return (endpoint: SimulatedEndpoint) => {
    const arrivals = endpoint.arrivals();
    const count = arrivals - (formerArrivals.get(endpoint) ?? 0);
    formerArrivals.set(endpoint, arrivals);
    const now = queue.nowMs();
    if (now >= SETTLE_MS && now < END_OF_ARRIVALS_MS) herds.push(count);
  };
}

function computeSlowPlainShare(endpoints: readonly SimulatedEndpoint[]) {
  const plains = endpoints.filter(({ service }) => service === "plain");
  const sum = (read: (endpoint: SimulatedEndpoint) => number) =>
    plains.reduce((total, endpoint) => total + read(endpoint), 0);
  return (
    sum((endpoint) => endpoint.arrivalsWhileSlow()) /
    Math.max(
      1,
      sum((endpoint) => endpoint.arrivals()),
    )
  );
}
