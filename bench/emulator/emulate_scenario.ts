/** Runs one scenario of the emulator with the real programs and summarises it. */

import { explainRequest, parseRecords } from "../../src/explain/mod.ts";
import {
  FIRST_KEY,
  startPlatformFleet,
} from "../../stand_ins/users_platform/mod.ts";
import type {
  FleetProcess,
  PlatformFleet,
} from "../../stand_ins/users_platform/mod.ts";
import { readUsage } from "../process_handle.ts";
import { createRandom } from "../random.ts";
import { computePercentiles } from "../call_statistics.ts";
import type { Percentiles } from "../call_statistics.ts";
import type { Scenario } from "./scenario.ts";
import { startLoadBalancer } from "./load_balancer.ts";
import { simulateCallers } from "./simulate_callers.ts";
import type { CallerOutcome, CallerResult } from "./simulate_callers.ts";
import { injectFaults } from "./inject_faults.ts";

const READY_TIMEOUT_MS = 20_000;
const POLL_MS = 50;
/** The first version of the weights; workers hold it at the start. */
const FIRST_VERSION = 1;

export interface ProgramUsage {
  readonly processes: number;
  /** Mean over the processes and the duration of the scenario. */
  readonly cores: number;
  readonly peakMb: number;
}

export interface ScenarioSummary {
  readonly day: string;
  readonly seed: number;
  readonly requests: number;
  readonly outcomes: Readonly<Record<CallerOutcome, number>>;
  /** Time to the first event, for calls answered at the first attempt. */
  readonly firstEventMs: Percentiles;
  /** Time to the first event at the caller, minus the same at the worker. */
  readonly addedMs: Percentiles;
  readonly usage: Readonly<Record<FleetProcess["program"], ProgramUsage>>;
  /** Calls that were refused or failed. */
  readonly unserved: number;
  /** Unserved calls whose cause the logs give. */
  readonly explained: number;
}

export interface EmulationResult {
  readonly summary: ScenarioSummary;
  readonly results: readonly CallerResult[];
  /** Standard output of each process that ran. */
  readonly logs: readonly string[];
}

export interface EmulateOptions {
  readonly seed: number;
  /** Folder in which each gateway writes a processor profile when it stops. */
  readonly profileFolder?: string | undefined;
}

export async function emulateScenario(
  scenario: Scenario,
  { seed, profileFolder }: EmulateOptions,
): Promise<EmulationResult> {
  const fleet = await startPlatformFleet({
    nodeArgs:
      profileFolder === undefined
        ? []
        : ["--cpu-prof", `--cpu-prof-dir=${profileFolder}`],
    gateways: scenario.gateways,
    workers: Array.from({ length: scenario.workers }, () => FIRST_VERSION),
    objectiveMs: scenario.objective_ms,
    worker: {
      slots: scenario.worker.slots,
      maxWaiting: scenario.worker.max_waiting,
      firstEventMs: scenario.worker.first_event_ms,
      eventIntervalMs: scenario.worker.event_interval_ms,
      eventCount: scenario.worker.events,
    },
  });
  try {
    await waitUntilReady(fleet);
    const faults = injectFaults(fleet, scenario.faults, FIRST_KEY);
    const startedAtMs = performance.now();
    const cpuBefore = readCpu(fleet);
    const random = createRandom(seed);
    const balancer = startLoadBalancer(fleet, random);
    const results = await simulateCallers({
      scenario,
      balancer,
      faults,
      random,
    });
    faults.close();
    balancer.close();
    const durationS = (performance.now() - startedAtMs) / 1_000;
    const usage = {
      gateway: describeUsage(fleet, "gateway", { cpuBefore, durationS }),
      sidecar: describeUsage(fleet, "sidecar", { cpuBefore, durationS }),
    };
    if (profileFolder !== undefined) await stopGateways(fleet);
    const logs = fleet.processes.map((process) => process.logs());
    const summary = summarise({ scenario, seed, fleet, results, logs, usage });
    return { summary, results, logs };
  } finally {
    await fleet.close();
  }
}

/** Stops the gateways with SIGTERM, because a killed process writes no profile. */
function stopGateways({ gateways }: PlatformFleet) {
  return Promise.all(
    gateways.map(({ process: child }) => {
      const ended = new Promise((resolve) => child.once("exit", resolve));
      child.kill("SIGTERM");
      return ended;
    }),
  );
}

async function waitUntilReady(fleet: PlatformFleet) {
  const startedAtMs = performance.now();
  const isReady = async (url: string) =>
    fetch(url).then(
      ({ status }) => status === 200,
      () => false,
    );
  for (;;) {
    const ready = await Promise.all(
      fleet.gateways.map(({ readyUrl }) => isReady(readyUrl)),
    );
    const hasLoads = fleet.processes
      .filter(({ program }) => program === "sidecar")
      .every(({ logs }) => logs().includes('"phase":"warm"'));
    if (ready.every(Boolean) && hasLoads) return;
    if (performance.now() - startedAtMs > READY_TIMEOUT_MS) {
      throw new Error("not all gateways and sidecars were ready in time");
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}

function readCpu({ processes }: PlatformFleet): ReadonlyMap<number, number> {
  return new Map(
    processes.map(({ child }) => [child.pid!, readUsage(child.pid!).cpuS]),
  );
}

/** Usage of the program's processes that still run. */
function describeUsage(
  { processes }: PlatformFleet,
  program: FleetProcess["program"],
  window: {
    readonly cpuBefore: ReadonlyMap<number, number>;
    readonly durationS: number;
  },
): ProgramUsage {
  const running = processes.filter(
    ({ child, ...process }) =>
      process.program === program &&
      child.exitCode === null &&
      child.signalCode === null,
  );
  const used = running.map(({ child }) => readUsage(child.pid!));
  const cpuS = running.reduce(
    (sum, { child }, index) =>
      sum + used[index]!.cpuS - (window.cpuBefore.get(child.pid!) ?? 0),
    0,
  );
  return {
    processes: running.length,
    cores: cpuS / window.durationS / Math.max(1, running.length),
    peakMb:
      Math.max(0, ...used.map(({ peakRssBytes }) => peakRssBytes)) / 1_048_576,
  };
}

interface SummaryInput {
  readonly scenario: Scenario;
  readonly seed: number;
  readonly fleet: PlatformFleet;
  readonly results: readonly CallerResult[];
  readonly logs: readonly string[];
  readonly usage: ScenarioSummary["usage"];
}

function summarise(input: SummaryInput): ScenarioSummary {
  const { scenario, seed, fleet, results, logs, usage } = input;
  const count = (outcome: CallerOutcome) =>
    results.filter((result) => result.outcome === outcome).length;
  const singleAttempts = results.flatMap(({ attempts, outcome }) =>
    attempts.length === 1 && outcome !== "failed" ? attempts : [],
  );
  const workerFirstEventsMs = new Map(
    fleet.workers.flatMap(({ firstEventsMs }) => [...firstEventsMs]),
  );
  const timings = singleAttempts.flatMap(({ attemptId, firstEventMs }) => {
    const workerFirstEventMs = workerFirstEventsMs.get(attemptId);
    return firstEventMs === undefined || workerFirstEventMs === undefined
      ? []
      : [{ firstEventMs, workerFirstEventMs }];
  });
  const records = logs.flatMap((text) => parseRecords(text).records);
  const unserved = results.filter(
    ({ outcome }) => outcome === "refused" || outcome === "failed",
  );
  const explained = unserved.filter(
    ({ attempts }) =>
      explainRequest(records, attempts.at(-1)!.attemptId).cause !== undefined,
  );
  return {
    day: scenario.name,
    seed,
    requests: results.length,
    outcomes: {
      in_time: count("in_time"),
      late: count("late"),
      refused: count("refused"),
      failed: count("failed"),
    },
    firstEventMs: computePercentiles(
      timings.map(({ firstEventMs }) => firstEventMs),
    ),
    addedMs: computePercentiles(
      timings.map(({ firstEventMs, workerFirstEventMs }) =>
        Math.max(0, firstEventMs - workerFirstEventMs),
      ),
    ),
    usage,
    unserved: unserved.length,
    explained: explained.length,
  };
}
