/**
 * Measures the time until N replicas serve a new version, for several N: with
 * the swarm and, up to a given N, with the baseline in which each agent
 * downloads from the store. The baseline needs N/2 lower bounds, because the
 * store's link has twice the rate of a host's.
 *
 * The result is a JSON file with a `points` array in the order of N. It is
 * written after each point, so that an interrupted run keeps the earlier
 * points. For each run a point holds what a plot needs: `serving_ms` and
 * `whole_ms` of the last replica (null if one is missing), the transferred
 * copies and the failures that callers saw.
 */

import { writeFileSync } from "node:fs";
import { loadavg } from "node:os";
import { Command } from "commander";
import { computeLowerBoundMs } from "./burst_plan.ts";
import type { BurstSize } from "./burst_plan.ts";
import { runBurst } from "./run_burst.ts";
import type { BurstOptions } from "./run_burst.ts";

/** Target ratios of time to serving to lower bound (docs/design.md 1.5). */
const TARGETS = [
  { replicas: 16, ratio: 1.5 },
  { replicas: 64, ratio: 1.8 },
];

const options = new Command()
  .requiredOption("--out <path>", "file for the result")
  .option("--replicas <list>", "numbers of replicas", "4,8,16,32,64")
  .option("--baseline-up-to <n>", "largest N of the baseline", "16")
  .option("--seed <n>", "seed of the load", "1")
  .option("--model-mib <n>", "size of the model", "32")
  .option("--host-mbit <n>", "rate of a host's link", "12")
  .parse()
  .opts<{
    out: string;
    replicas: string;
    baselineUpTo: string;
    seed: string;
    modelMib: string;
    hostMbit: string;
  }>();

const seed = Number(options.seed);
const baselineUpTo = Number(options.baselineUpTo);

function createSize(replicas: number): BurstSize {
  return {
    replicas,
    modelBytes: Number(options.modelMib) * 1024 * 1024,
    hostMbitPerS: Number(options.hostMbit),
  };
}

async function measure(size: BurstSize, policy: BurstOptions["policy"]) {
  const loadAverage = loadavg()[0]!;
  const result = await runBurst({ size, seed, fault: "none", policy });
  return {
    load_average: loadAverage,
    serving_ms: result.time_to_serving_ms.all,
    whole_ms: result.time_to_whole_ms.all,
    missing: result.time_to_serving_ms.missing,
    origin_copies: result.origin_copies,
    max_host_copies_sent: result.max_host_copies_sent,
    cross_data_centre_copies: result.cross_data_centre_copies,
    wrong: result.wrong,
    cut: result.cut,
    first_token_before_p95_ms: result.first_token_before_p95_ms,
    first_token_during_p95_ms: result.first_token_during_p95_ms,
  };
}

const points: object[] = [];
for (const replicas of options.replicas.split(",").map(Number)) {
  const size = createSize(replicas);
  const swarm = await measure(size, "swarm");
  const baseline =
    replicas <= baselineUpTo ? await measure(size, "store") : null;
  points.push({ replicas, swarm, baseline });
  const report = {
    measure: "curve",
    seed,
    model_bytes: size.modelBytes,
    host_mbit_per_s: size.hostMbitPerS,
    lower_bound_ms: computeLowerBoundMs(size),
    targets: TARGETS,
    baseline_up_to: baselineUpTo,
    points,
  };
  writeFileSync(options.out, `${JSON.stringify(report, null, 2)}\n`);
}
process.exit(0);
