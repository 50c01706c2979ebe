/**
 * Measures the decisions of `src/scheduling/` under load, on simulated time and
 * without a network, beside the former policy and an upper bound.
 */

import { writeFileSync } from "node:fs";
import { Command, InvalidArgumentError, Option } from "commander";
import { comparePolicies } from "./load/compare_policies.ts";
import { DEPLOYMENTS, scaleDeployment } from "./load/deployments.ts";
import { formatTable } from "./load/format_table.ts";
import { PATTERNS } from "./load/patterns.ts";
import { plotWorth } from "./load/plot_worth.ts";

interface Options {
  readonly deployment?: string;
  readonly pattern?: readonly string[];
  readonly entries?: number;
  readonly seed: number;
  readonly seeds: number;
  readonly json?: boolean;
  readonly svg?: string;
}

const options = new Command()
  .addOption(
    new Option("--deployment <name>", "only this one").choices(
      DEPLOYMENTS.map(({ name }) => name),
    ),
  )
  .addOption(
    new Option("--pattern <names...>", "only these").choices(
      PATTERNS.map(({ name }) => name),
    ),
  )
  .option("--entries <n>", "scales the deployment", parseCount)
  .option("--seed <n>", "first seed", parseCount, 1)
  .option("--seeds <n>", "number of seeds", parseCount, 30)
  .option("--json", "print one JSON line for each pattern")
  .option("--svg <file>", "plot the worth of the patterns")
  .parse()
  .opts<Options>();

function parseCount(text: string): number {
  const count = Number(text);
  if (Number.isInteger(count) && count > 0) return count;
  throw new InvalidArgumentError("not a positive integer");
}

const seeds = Array.from(
  { length: options.seeds },
  (_, index) => options.seed + index,
);
const deployments = DEPLOYMENTS.filter(
  ({ name }) => name === (options.deployment ?? name),
).map((deployment) =>
  scaleDeployment(deployment, options.entries ?? deployment.entries),
);
const patterns = PATTERNS.filter(
  ({ name }) => options.pattern?.includes(name) ?? true,
);
const results = deployments.flatMap((deployment) =>
  patterns.map((pattern) => {
    const result = comparePolicies({ deployment, pattern, seeds });
    console.log(options.json ? JSON.stringify(result) : formatTable(result));
    return result;
  }),
);
if (options.svg !== undefined) {
  writeFileSync(options.svg, `${await plotWorth(results)}\n`);
}
