/**
 * Measures the time that the entry and the agent add to a stream: the same load
 * goes through them and directly to the endpoints, in alternating runs. Both
 * runs of a pair have the same arrival times and prompts of the same length.
 * The percentiles are over all runs of a kind.
 */

import { Agent, request } from "node:http";
import { loadavg } from "node:os";
import { monitorEventLoopDelay } from "node:perf_hooks";
import { Command } from "commander";
import { createAnswerText } from "../stand_ins/answer_text.ts";
import type { CallResult } from "./call.ts";
import { startFleet } from "./fleet.ts";
import { endpointUrl, LANGUAGE_SERVICE, processUrl } from "./fleet_hosts.ts";
import { ACCOUNTS, MODEL, planFleet } from "./fleet_plan.ts";
import { isServing, readLanguageStatuses } from "./fleet_status.ts";
import { startLoad } from "./load.ts";
import { ENGINE_PROFILE } from "./profiles.ts";
import { createRandom, pickOne } from "./random.ts";
import { computeRoleUsage, readCpu } from "./role_usage.ts";
import {
  computePercentiles,
  countDetails,
  countOutcomes,
  listFirstTokenMs,
} from "./call_statistics.ts";

const RATE_PER_S = 35;
const TOKENS_PER_REQUEST = 329;
const ENDPOINTS = 6;
const WARM_CONCURRENCY = 96;
const MODEL_BYTES = 1024 * 1024;
const READY_TIMEOUT_MS = 30_000;
/** "straight" runs call the endpoints directly, "through" runs call the entry. */
const RUN_ORDER = ["straight", "through", "through", "straight"] as const;
/**
 * A stream lasts 329 steps of 20 ms, so the load of a run grows for this long.
 * Responses to requests sent earlier are checked, but not measured.
 */
const RAMP_MS = 6_600;
const CALL_TIMEOUT_MS = 60_000;

interface PathOptions {
  readonly seed: string;
  readonly seconds: string;
  readonly json?: boolean;
}

const options = new Command()
  .option("--seed <n>", "seed of the load", "1")
  .option("--seconds <n>", "length of each of the four runs", "20")
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
  const deadlineMs = performance.now() + READY_TIMEOUT_MS;
  for (;;) {
    const statuses = await readLanguageStatuses(plan, digest);
    const serving = statuses.filter((s) => isServing(s, digest)).length;
    if (serving === ENDPOINTS) return;
    if (performance.now() > deadlineMs)
      throw new Error("not all endpoints served v1 in time");
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
}

interface RawResponse {
  readonly status: number;
  readonly headers: NodeJS.Dict<string | string[]>;
  readonly reads: readonly { readonly atMs: number; readonly bytes: Buffer }[];
  readonly error: string | undefined;
}

interface PathCall {
  readonly baseUrl: string;
  readonly prompt: string;
  readonly maxTokens: number;
}

const httpAgent = new Agent({ keepAlive: true });

/**
 * Only stores the received bytes with their times. Parsing the events while the
 * load runs would slow this process down enough to distort the measurement.
 */
function send(call: PathCall): Promise<RawResponse> {
  const reads: { atMs: number; bytes: Buffer }[] = [];
  return new Promise((resolve) => {
    const body = JSON.stringify({
      model: MODEL,
      prompt: call.prompt,
      max_tokens: call.maxTokens,
      stream: true,
    });
    const outgoing = request(`${call.baseUrl}/v1/completions`, {
      method: "POST",
      agent: httpAgent,
      timeout: CALL_TIMEOUT_MS,
      headers: {
        authorization: `Bearer ${ACCOUNTS[0]!.apiKey}`,
        "content-type": "application/json",
        "content-length": Buffer.byteLength(body),
      },
    });
    function finish(error?: string, status = 0, headers = {}) {
      resolve({ status, headers, reads, error });
    }
    outgoing.on("error", (error) => finish(String(error)));
    outgoing.on("timeout", () => outgoing.destroy(new Error("timeout")));
    outgoing.on("response", (incoming) => {
      incoming.on("data", (bytes: Buffer) =>
        reads.push({ atMs: performance.now(), bytes }),
      );
      incoming.on("error", (error) => finish(String(error)));
      incoming.on("end", () =>
        finish(undefined, incoming.statusCode, incoming.headers),
      );
    });
    outgoing.end(body);
  });
}

interface TimedCall {
  readonly call: PathCall;
  readonly startMs: number;
  readonly sentAtMs: number;
  readonly response: RawResponse;
}

/**
 * Checks the complete response. Each token after the first adds one gap, of zero
 * length if it arrived together with the token before it. So each stream has the
 * same number of gaps, however its tokens were grouped in transit.
 */
function checkCall({
  call,
  startMs,
  sentAtMs,
  response,
}: TimedCall): CallResult {
  const { reads, status, headers, error } = response;
  const text = Buffer.concat(reads.map((read) => read.bytes)).toString();
  const events = text.split("\n\n").filter((event) => event !== "");
  const tokenTimesMs = reads.flatMap(({ atMs, bytes }) =>
    Array<number>(bytes.toString().split('"text":').length - 1).fill(atMs),
  );
  const endMs = reads.at(-1)?.atMs ?? startMs;
  const base = {
    sentAtMs,
    totalMs: endMs - startMs,
    tokenGapsMs: tokenTimesMs
      .slice(1)
      .map((atMs, index) => atMs - tokenTimesMs[index]!),
    ...(tokenTimesMs.length > 0 && {
      firstTokenMs: tokenTimesMs[0]! - startMs,
    }),
  };
  if (error !== undefined) return { ...base, outcome: "cut", detail: error };
  if (status !== 200) {
    const refused = [429, 503].includes(status) ? "not_run" : "unknown";
    return { ...base, outcome: refused, detail: `status ${status}` };
  }
  if (events.at(-1) !== "data: [DONE]") {
    return { ...base, outcome: "cut", detail: "no end mark" };
  }
  const receivedText = events
    .slice(0, -1)
    .map((event) => JSON.parse(event.slice("data: ".length)) as TextEvent)
    .map(({ choices }) => choices[0].text)
    .join("");
  const namedDigest = headers["zinniaspur-model-digest"];
  const versionDigest = String(namedDigest ?? plan.digestOf("v1"));
  const key = { prompt: call.prompt, versionDigest };
  return receivedText === createAnswerText(key, call.maxTokens)
    ? { ...base, outcome: "answered_whole", detail: "" }
    : { ...base, outcome: "wrong", detail: "text differs" };
}

interface TextEvent {
  readonly choices: readonly [{ readonly text: string }];
}

interface RunOptions {
  readonly urls: readonly string[];
  readonly seed: number;
  /** Prefix of the prompts, so that none is in a prefix cache from earlier. */
  readonly label: string;
  readonly durationMs: number;
  readonly ratePerS: number;
  readonly maxTokens: number;
}

interface RunResult {
  readonly all: readonly CallResult[];
  /** Calls that started after the load had reached its full level. */
  readonly measured: readonly CallResult[];
  readonly clientCores: number;
  readonly clientDelayP99Ms: number;
}

async function executeRun(run: RunOptions): Promise<RunResult> {
  const timedCalls: TimedCall[] = [];
  const pickRandom = createRandom(run.seed + 1);
  const delays = monitorEventLoopDelay({ resolution: 1 });
  delays.enable();
  const cpuBefore = process.cpuUsage();
  const runStartMs = performance.now();
  const load = startLoad({
    ratePerS: run.ratePerS,
    random: createRandom(run.seed),
    send: async () => {
      const number = Math.floor(pickRandom() * 1e9);
      const call: PathCall = {
        baseUrl: pickOne(pickRandom, run.urls),
        prompt: `${run.label} ${String(number).padStart(9, "0")}`,
        maxTokens: run.maxTokens,
      };
      const startMs = performance.now();
      const sentAtMs = Date.now();
      const response = await send(call);
      timedCalls.push({ call, startMs, sentAtMs, response });
      return {
        outcome: "cut",
        detail: "",
        sentAtMs,
        totalMs: 0,
        tokenGapsMs: [],
      };
    },
  });
  await new Promise((resolve) => setTimeout(resolve, run.durationMs));
  const { user, system } = process.cpuUsage(cpuBefore);
  const clientCores = (user + system) / 1000 / (performance.now() - runStartMs);
  await load.stop();
  delays.disable();
  const isMeasured = ({ startMs }: TimedCall) => startMs - runStartMs > RAMP_MS;
  return {
    all: timedCalls.map(checkCall),
    measured: timedCalls.filter(isMeasured).map(checkCall),
    clientCores,
    clientDelayP99Ms: delays.percentile(99) / 1e6,
  };
}

function summarise(runs: readonly RunResult[]) {
  const all = runs.flatMap((run) => run.all);
  const measured = runs.flatMap((run) => run.measured);
  const describe = (valuesMs: readonly number[]) => ({
    ...computePercentiles(valuesMs),
    max: valuesMs.reduce((max, value) => Math.max(max, value), 0),
    count: valuesMs.length,
  });
  return {
    ...countOutcomes(all),
    reasons: countDetails(all),
    first_token_ms: describe(listFirstTokenMs(measured)),
    between_tokens_ms: describe(measured.flatMap((r) => r.tokenGapsMs)),
    client_cores: runs.map((run) => run.clientCores),
    client_delay_p99_ms: runs.map((run) => run.clientDelayP99Ms),
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
  const seed = Number(options.seed);
  const entryUrls = plan.hosts
    .filter((host) => host.role === "entry")
    .map(processUrl);
  const engineUrls = plan.hosts
    .filter((host) => host.service === LANGUAGE_SERVICE)
    .map(endpointUrl);
  const durationMs = Number(options.seconds) * 1000;
  const base = { ratePerS: RATE_PER_S, maxTokens: TOKENS_PER_REQUEST };

  const idle = computeRoleUsage(fleet, {
    before: readCpu(fleet),
    durationS: 1,
  });
  // Short requests raise every endpoint from cold to its full limit. Each agent
  // needs 176 of them; with fewer, streams would later wait for a slot.
  await executeRun({
    ...base,
    seed,
    label: "Warm",
    urls: entryUrls,
    maxTokens: 4,
    ratePerS: 200,
    durationMs: 8_000,
  });

  const direct: RunResult[] = [];
  const through: RunResult[] = [];
  let roles = {};
  for (const [index, kind] of RUN_ORDER.entries()) {
    const run = {
      ...base,
      seed: seed * 1000 + Math.floor(index / 2),
      label: `Turn${index}`,
      durationMs,
    };
    if (kind === "straight") {
      direct.push(await executeRun({ ...run, urls: engineUrls }));
      continue;
    }
    const before = readCpu(fleet);
    const startMs = performance.now();
    through.push(await executeRun({ ...run, urls: entryUrls }));
    const durationS = (performance.now() - startMs) / 1000;
    roles = computeRoleUsage(fleet, { before, durationS });
  }

  const straight = summarise(direct);
  const path = summarise(through);
  const computeAdded = (kind: "first_token_ms" | "between_tokens_ms") => ({
    p50: path[kind].p50 - straight[kind].p50,
    p95: path[kind].p95 - straight[kind].p95,
    p99: path[kind].p99 - straight[kind].p99,
  });
  const report = {
    seed: Number(options.seed),
    requests_per_s: RATE_PER_S,
    tokens_per_s: RATE_PER_S * TOKENS_PER_REQUEST,
    added_first_token_ms: computeAdded("first_token_ms"),
    added_between_tokens_ms: computeAdded("between_tokens_ms"),
    through: path,
    straight,
    roles,
    memory_at_idle_mb: Object.fromEntries(
      Object.entries(idle).map(([role, { maxRssMb }]) => [role, maxRssMb]),
    ),
    load_average: loadavg(),
  };
  console.log(JSON.stringify(report, null, options.json ? 0 : 2));
} finally {
  await fleet.close();
}
process.exit(0);
