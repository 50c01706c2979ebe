/**
 * Runs a scenario, read from a day file, with the real programs on stand-ins of
 * the users' platform. Prints callers' outcomes, the latency that the gateway
 * added, and the processor time and memory of each role.
 */

import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import { Command } from "commander";
import { formatFinding } from "../src/document/mod.ts";
import { parseScenario } from "./emulator/scenario.ts";
import { computeTimeShare } from "./emulator/read_profiles.ts";
import { emulateScenario } from "./emulator/emulate_scenario.ts";
import type { ScenarioSummary } from "./emulator/emulate_scenario.ts";

/** Time in functions of these files, and in what they call, counts as logging. */
const LOGGING_FILE_PATTERN = /\/(bunyan|src\/logging)\//;

const options = new Command()
  .requiredOption("--day <file>", "day file, such as examples/days/calm.yaml")
  .option("--seed <n>", "seed of the arrivals", "1")
  .option("--logs <folder>", "writes the log of each process there")
  .option(
    "--profile <folder>",
    "profiles the gateways and prints the share of logging",
  )
  .option("--json", "print one JSON line")
  .parse()
  .opts<{
    day: string;
    seed: string;
    logs?: string;
    profile?: string;
    json?: boolean;
  }>();

const parsed = parseScenario(readFileSync(options.day, "utf8"), options.day);
if (parsed.isErr()) {
  parsed.error.forEach((finding) => console.error(formatFinding(finding)));
  process.exit(2);
}
const { summary, logs } = await emulateScenario(parsed.value, {
  seed: Number(options.seed),
  profileFolder: options.profile,
});
if (options.logs !== undefined) writeLogs(options.logs, logs);
if (options.json) console.log(JSON.stringify(summary));
else printSummary(summary);
if (options.profile !== undefined) {
  const loggingShare = computeTimeShare(options.profile, LOGGING_FILE_PATTERN);
  console.log(
    `  logs: ${(100 * loggingShare).toFixed(2)} % of the gateways' time`,
  );
}

function writeLogs(folder: string, texts: readonly string[]) {
  mkdirSync(folder, { recursive: true });
  texts.forEach((text, index) =>
    writeFileSync(join(folder, `process-${index}.log`), text),
  );
}

function printSummary({ outcomes, usage, ...summary }: ScenarioSummary) {
  const { requests, firstEventMs, addedMs, unserved, explained } = summary;
  const formatShare = (count: number) =>
    `${((100 * count) / requests).toFixed(2)} %`;
  console.log(`${summary.day}, seed ${summary.seed}: ${requests} requests`);
  Object.entries(outcomes).forEach(([outcome, count]) =>
    console.log(`  ${outcome.padEnd(8)} ${count} (${formatShare(count)})`),
  );
  console.log(
    `  first event: p50 ${firstEventMs.p50} ms, p99 ${firstEventMs.p99} ms; ` +
      `added: p50 ${addedMs.p50} ms, p99 ${addedMs.p99} ms`,
  );
  Object.entries(usage).forEach(([program, { processes, cores, peakMb }]) =>
    console.log(
      `  ${program}: ${processes} processes, ${cores.toFixed(3)} cores each, ` +
        `peak ${peakMb.toFixed(0)} MB`,
    ),
  );
  console.log(`  cause named for ${explained} of ${unserved} unserved calls`);
}
