/**
 * Measures how a new model version reaches N replicas under steady load. One
 * JSON line reports the time that it took, the copies that each link carried
 * and callers' outcomes, for the swarm and for the baseline in which each agent
 * downloads from the store.
 */

import { Command, Option } from "commander";
import { chooseFinalVersion, FAULTS } from "./burst_faults.ts";
import type { Fault } from "./burst_faults.ts";
import { computeLowerBoundMs } from "./burst_plan.ts";
import type { BurstSize } from "./burst_plan.ts";
import { runBurst } from "./run_burst.ts";

const options = new Command()
  .option("--replicas <n>", "language endpoints", "16")
  .option("--seed <n>", "seed of the load", "1")
  .option("--model-mib <n>", "size of the model", "32")
  .option(
    "--host-mbit <n>",
    "rate of a host's link; lower it for many hosts",
    "12",
  )
  .addOption(
    new Option("--fault <name>", "fault injected during the transfer")
      .choices(FAULTS)
      .default("none"),
  )
  .option("--skip-baseline", "measure the swarm only")
  .option("--json", "print one JSON line")
  .parse()
  .opts<{
    replicas: string;
    seed: string;
    modelMib: string;
    hostMbit: string;
    fault: Fault;
    skipBaseline?: boolean;
    json?: boolean;
  }>();

const { fault } = options;
const seed = Number(options.seed);
const size: BurstSize = {
  replicas: Number(options.replicas),
  modelBytes: Number(options.modelMib) * 1024 * 1024,
  hostMbitPerS: Number(options.hostMbit),
};
const swarm = await runBurst({ size, seed, fault, policy: "swarm" });
const baseline = options.skipBaseline
  ? null
  : await runBurst({ size, seed, fault, policy: "store" });
const report = {
  replicas: size.replicas,
  seed,
  fault,
  // With version_withdrawn all replicas serve it from the start, so the times
  // are not meaningful.
  final_version: chooseFinalVersion(fault),
  model_bytes: size.modelBytes,
  host_mbit_per_s: size.hostMbitPerS,
  lower_bound_ms: computeLowerBoundMs(size),
  ...swarm,
  baseline,
};
console.log(JSON.stringify(report, null, options.json ? 0 : 2));
process.exit(0);
