/**
 * Time that the entry and the agent add to a stream: the same load goes
 * through them and straight to the endpoints, in turns within one run.
 */

import { Command } from "commander";
import { sendCompletion } from "./call.ts";
import type { CallResult } from "./call.ts";
import { startFleet } from "./fleet.ts";
import { endpointUrl, LANGUAGE_SERVICE, processUrl } from "./fleet_hosts.ts";
import { ACCOUNTS, planFleet } from "./fleet_plan.ts";
import { isServing, readLanguageStatus } from "./fleet_status.ts";
import { startLoad } from "./load.ts";
import { ENGINE_PROFILE } from "./profiles.ts";
import { createRandom, pickOne } from "./random.ts";
import type { Random } from "./random.ts";
import { computeRoleUsage, readCpu } from "./role_usage.ts";
import {
  computePercentiles,
  countDetails,
  countOutcomes,
  listFirstTokenMs,
} from "./tally.ts";

const RATE_PER_S = 35;
const TOKENS_PER_REQUEST = 329;
const ENDPOINTS = 6;
const WARM_CONCURRENCY = 96;
const MODEL_BYTES = 1024 * 1024;
const READY_LIMIT_MS = 30_000;

interface PathOptions {
  readonly seed: string;
  readonly seconds: string;
  readonly json?: boolean;
}

const options = new Command()
  .option("--seed <n>", "seed of the load", "1")
  .option("--seconds <n>", "length of each of the four turns", "10")
  .option("--json", "print one JSON line")
  .parse()
  .opts<PathOptions>();

const plan = planFleet({
  dataCentres: [
    {
      name: "kolkata",
      region: "bengal",
      entries: 1,
      languageEndpoints: ENDPOINTS,
      ledgerEndpoints: 0,
    },
  ],
  files: { sizeBytes: MODEL_BYTES, chunkBytes: 64 * 1024 },
  hostMbitPerS: 100,
  storeMbitPerS: 200,
  regionMbitPerS: 100,
  coldConcurrency: 8,
  warmConcurrency: WARM_CONCURRENCY,
  requestsPerS: 10_000,
});

async function waitUntilServing() {
  const digest = plan.digestOf("v1");
  const deadlineMs = performance.now() + READY_LIMIT_MS;
  for (;;) {
    const statuses = await readLanguageStatus(plan, digest);
    const serving = statuses.filter((s) => isServing(s, digest)).length;
    if (serving === ENDPOINTS) return;
    if (performance.now() > deadlineMs) throw new Error("Fleet not ready");
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
}

interface Turn {
  readonly urls: readonly string[];
  readonly random: Random;
  readonly durationMs: number;
  readonly ratePerS: number;
  readonly maxTokens: number;
}

async function runTurn(turn: Turn): Promise<readonly CallResult[]> {
  const { urls, random } = turn;
  const load = startLoad({
    ratePerS: turn.ratePerS,
    random,
    send: () =>
      sendCompletion({
        baseUrl: pickOne(random, urls),
        account: ACCOUNTS[0]!,
        prompt: `Prompt ${Math.floor(random() * 1e9)}`,
        maxTokens: turn.maxTokens,
        defaultDigest: plan.digestOf("v1"),
      }),
  });
  await new Promise((resolve) => setTimeout(resolve, turn.durationMs));
  return load.stop();
}

function summarise(results: readonly CallResult[]) {
  return {
    ...countOutcomes(results),
    first_token_ms: computePercentiles(listFirstTokenMs(results)),
    between_tokens_ms: computePercentiles(results.flatMap((r) => r.gapsMs)),
  };
}

const fleet = await startFleet({
  plan,
  engine: { ...ENGINE_PROFILE, warmCapacity: 128, coldCapacity: 12 },
  storeMbitPerS: 200,
  weightsPolicy: "swarm",
  weightsMemoryBytes: 4 * MODEL_BYTES,
  hostsLagMs: 0,
  ledgerWorkMs: 5,
});
try {
  await fleet.publish({ servingVersion: "v1", outDataCentres: [] });
  await waitUntilServing();
  const random = createRandom(Number(options.seed));
  const entryUrls = plan.hosts
    .filter((host) => host.role === "entry")
    .map(processUrl);
  const engineUrls = plan.hosts
    .filter((host) => host.service === LANGUAGE_SERVICE)
    .map(endpointUrl);
  const durationMs = Number(options.seconds) * 1000;
  const base = { random, ratePerS: RATE_PER_S, maxTokens: TOKENS_PER_REQUEST };

  // Short requests bring every endpoint from cold to its full limit.
  await runTurn({
    ...base,
    urls: entryUrls,
    maxTokens: 4,
    ratePerS: 60,
    durationMs: 8_000,
  });

  const direct: CallResult[] = [];
  const through: CallResult[] = [];
  let roles = {};
  for (const turn of [1, 2]) {
    direct.push(...(await runTurn({ ...base, urls: engineUrls, durationMs })));
    const before = readCpu(fleet);
    const startMs = performance.now();
    through.push(...(await runTurn({ ...base, urls: entryUrls, durationMs })));
    const durationS = (performance.now() - startMs) / 1000;
    if (turn === 2) roles = computeRoleUsage(fleet, { before, durationS });
  }

  const straight = summarise(direct);
  const path = summarise(through);
  const added = (kind: "first_token_ms" | "between_tokens_ms") => ({
    p50: path[kind].p50 - straight[kind].p50,
    p95: path[kind].p95 - straight[kind].p95,
    p99: path[kind].p99 - straight[kind].p99,
  });
  const report = {
    seed: Number(options.seed),
    requests_per_s: RATE_PER_S,
    tokens_per_s: RATE_PER_S * TOKENS_PER_REQUEST,
    added_first_token_ms: added("first_token_ms"),
    added_between_tokens_ms: added("between_tokens_ms"),
    through: { ...path, reasons: countDetails(through) },
    straight: { ...straight, reasons: countDetails(direct) },
    roles,
  };
  console.log(JSON.stringify(report, null, options.json ? 0 : 2));
} finally {
  await fleet.close();
}
process.exit(0);
