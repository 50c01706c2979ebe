/**
 * Measures the cost of a peer, a configuration change, a stream and a token for
 * entry and agent, each at several points, and fits a line through them.
 * docs/CAPACITY.md is calculated from these lines.
 */

import { Command } from "commander";
import { request } from "undici";
import { sendCompletion } from "./call.ts";
import { startFleet } from "./fleet.ts";
import type { Fleet } from "./fleet.ts";
import { processUrl } from "./fleet_hosts.ts";
import { ACCOUNTS, planFleet } from "./fleet_plan.ts";
import type { FleetPlan } from "./fleet_plan.ts";
import { fitLine } from "./fit_line.ts";
import type { Line, Point } from "./fit_line.ts";
import { waitUntilServing } from "./fleet_status.ts";
import { startLoad } from "./load.ts";
import { ENGINE_PROFILE } from "./profiles.ts";
import { createRandom, pickOne } from "./random.ts";
import { computeRoleUsage, readCpu } from "./role_usage.ts";

const MODEL_BYTES = 256 * 1024;
const READY_TIMEOUT_MS = 60_000;
const PEER_POINTS = [4, 8, 16, 32] as const;
const CHANGE_RATES_PER_S = [0, 1, 2, 4] as const;
const STREAM_RATES_PER_S = [5, 10, 20] as const;
const TOKEN_POINTS = [50, 100, 200] as const;

const options = new Command()
  .option("--seed <n>", "seed of the load", "1")
  .option("--seconds <n>", "length of each window", "6")
  .option("--json", "print one JSON line")
  .parse()
  .opts<{ seed: string; seconds: string; json?: boolean }>();
const windowMs = Number(options.seconds) * 1000;
const random = createRandom(Number(options.seed));

interface Sample {
  readonly entryCores: number;
  readonly agentCores: number;
  readonly entryRssMb: number;
  readonly agentRssMb: number;
  readonly entrySentBytesPerS: number;
  readonly agentSentBytesPerS: number;
}

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** Bytes sent to peers, as a mean over the processes of one role. */
async function readSentBytes(plan: FleetPlan, role: "entry" | "endpoint") {
  const hosts = plan.hosts.filter((host) => host.role === role);
  const totals = await Promise.all(
    hosts.map(async (host) => {
      const { body } = await request(`${processUrl(host)}/metrics`);
      const text = await body.text();
      return [...text.matchAll(/^zinniaspur_peer_sent_bytes_total\S* (\d+)/gm)]
        .map((match) => Number(match[1]))
        .reduce((sum, value) => sum + value, 0);
    }),
  );
  return totals.reduce((sum, value) => sum + value, 0) / hosts.length;
}

async function takeSample(
  fleet: Fleet,
  run: () => Promise<unknown>,
): Promise<Sample> {
  const { plan } = fleet;
  const before = readCpu(fleet);
  const entryBytes = await readSentBytes(plan, "entry");
  const agentBytes = await readSentBytes(plan, "endpoint");
  const startMs = performance.now();
  await run();
  const durationS = (performance.now() - startMs) / 1000;
  const usage = computeRoleUsage(fleet, { before, durationS });
  return {
    entryCores: usage["entry"]!.cores,
    agentCores: usage["agent"]!.cores,
    entryRssMb: usage["entry"]!.maxRssMb,
    agentRssMb: usage["agent"]!.maxRssMb,
    entrySentBytesPerS:
      ((await readSentBytes(plan, "entry")) - entryBytes) / durationS,
    agentSentBytesPerS:
      ((await readSentBytes(plan, "endpoint")) - agentBytes) / durationS,
  };
}

async function withFleet<T>(
  endpoints: number,
  measure: (fleet: Fleet) => Promise<T>,
): Promise<T> {
  const plan = planFleet({
    dataCentres: [
      {
        name: "kolkata",
        region: "bengal",
        entries: 1,
        languageEndpoints: endpoints,
        ledgerEndpoints: 0,
      },
    ],
    files: { sizeBytes: MODEL_BYTES, chunkBytes: 64 * 1024 },
    hostMbitPerS: 100,
    storeMbitPerS: 1_000,
    regionMbitPerS: 100,
    coldConcurrency: 8,
    warmConcurrency: 96,
    requestsPerS: 10_000,
  });
  const fleet = await startFleet({
    plan,
    engine: { ...ENGINE_PROFILE, warmCapacity: 128, coldCapacity: 12 },
    storeMbitPerS: 1_000,
    weightsPolicy: "swarm",
    weightsMemoryBytes: 16 * MODEL_BYTES,
    hostsLagMs: 0,
    ledgerWorkMs: 5,
  });
  try {
    await fleet.publish({ servingVersion: "v1", outDataCentres: [] });
    await waitUntilServing(plan, "v1", { timeoutMs: READY_TIMEOUT_MS });
    await delay(2_000);
    return await measure(fleet);
  } finally {
    await fleet.close();
  }
}

function createStreamRun(
  fleet: Fleet,
  { ratePerS, tokens }: { ratePerS: number; tokens: number },
) {
  const urls = fleet.plan.hosts
    .filter((host) => host.role === "entry")
    .map(processUrl);
  return async () => {
    const load = startLoad({
      ratePerS,
      random,
      send: () =>
        sendCompletion({
          baseUrl: pickOne(random, urls),
          account: ACCOUNTS[0]!,
          prompt: `Prompt ${Math.floor(random() * 1e9)}`,
          maxTokens: tokens,
        }),
    });
    await delay(windowMs);
    const results = await load.stop();
    const whole = results.filter((r) => r.outcome === "answered_whole").length;
    if (whole < results.length * 0.95) {
      console.error(
        `Only ${whole} of ${results.length} responses were complete`,
      );
    }
  };
}

async function publishAtRate(fleet: Fleet, ratePerS: number) {
  const endMs = performance.now() + windowMs;
  while (performance.now() < endMs) {
    if (ratePerS === 0) await delay(windowMs);
    else {
      await fleet.publish({ servingVersion: "v1", outDataCentres: [] });
      await delay(1000 / ratePerS);
    }
  }
}

type Series = readonly { readonly x: number; readonly sample: Sample }[];

function fitSeries(series: Series): Readonly<Record<keyof Sample, Line>> {
  const keys = Object.keys(series[0]!.sample) as (keyof Sample)[];
  return Object.fromEntries(
    keys.map((key) => {
      const points: readonly Point[] = series.map(({ x, sample }) => ({
        x,
        y: sample[key],
      }));
      return [key, fitLine(points)];
    }),
  ) as Record<keyof Sample, Line>;
}

function describeSeries(series: Series) {
  return { points: series, fit: fitSeries(series) };
}

async function collectSeries(
  values: readonly number[],
  measure: (x: number) => Promise<Sample>,
): Promise<Series> {
  const series: { x: number; sample: Sample }[] = [];
  for (const x of values) series.push({ x, sample: await measure(x) });
  return series;
}

const perPeer = await collectSeries(PEER_POINTS, (endpoints) =>
  withFleet(endpoints, (fleet) => takeSample(fleet, () => delay(windowMs))),
);
const [perChange, perStream, perToken] = await withFleet(8, async (fleet) => {
  await createStreamRun(fleet, { ratePerS: 30, tokens: 4 })();
  return [
    await collectSeries(CHANGE_RATES_PER_S, (rate) =>
      takeSample(fleet, () => publishAtRate(fleet, rate)),
    ),
    await collectSeries(STREAM_RATES_PER_S, (ratePerS) =>
      takeSample(fleet, createStreamRun(fleet, { ratePerS, tokens: 100 })),
    ),
    await collectSeries(TOKEN_POINTS, (tokens) =>
      takeSample(fleet, createStreamRun(fleet, { ratePerS: 10, tokens })),
    ),
  ] as const;
});
const report = {
  seed: Number(options.seed),
  hosts: PEER_POINTS.map((n) => n + 1),
  per_peer: describeSeries(perPeer),
  per_change_per_s: describeSeries(perChange),
  per_stream_per_s: describeSeries(perStream),
  per_token_of_a_stream: describeSeries(perToken),
};
console.log(JSON.stringify(report, null, options.json ? 0 : 2));
process.exit(0);
