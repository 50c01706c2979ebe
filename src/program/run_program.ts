/**
 * What the entry and agent programs share: command line, settings, signals and
 * exit codes.
 */

import { readFileSync } from "node:fs";
import { Command } from "commander";
import { formatFinding } from "../document/mod.ts";
import { loadSettings } from "../settings/mod.ts";
import type { ParseSettings } from "../settings/mod.ts";

const EXIT_OK = 0;
const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;

export interface RunningProgram {
  /** Ends gracefully: no request in progress is cut off. */
  shutDown(): Promise<void>;
  /** Resolves with the reason if the program ends by itself. */
  readonly stopped: Promise<string>;
}

export interface ProgramOptions<Settings> {
  readonly name: string;
  readonly description: string;
  readonly parseSettings: ParseSettings<Settings>;
  readonly start: (settings: Settings) => Promise<RunningProgram>;
}

interface Flags {
  readonly settings: string;
  readonly check?: boolean;
}

export async function runProgram<Settings>(
  args: readonly string[],
  options: ProgramOptions<Settings>,
): Promise<never> {
  const command = new Command(options.name)
    .description(options.description)
    .version(readVersion())
    .requiredOption("--settings <file>", "settings of this process in YAML")
    .option("--check", "check the settings and exit")
    .exitOverride((error) =>
      process.exit(error.exitCode === 0 ? EXIT_OK : EXIT_USAGE),
    );
  command.parse(args, { from: "user" });
  const flags = command.opts<Flags>();
  const loaded = await loadSettings(flags.settings, options.parseSettings);
  if (loaded.isErr()) {
    loaded.error.forEach((finding) => console.error(formatFinding(finding)));
    process.exit(EXIT_FAILURE);
  }
  if (flags.check === true) process.exit(EXIT_OK);

  const program = await options.start(loaded.value).catch((error: unknown) => {
    console.error(`${options.name} could not start: ${String(error)}`);
    process.exit(EXIT_FAILURE);
  });
  const signal = new Promise<"signal">((resolve) => {
    process.once("SIGTERM", () => resolve("signal"));
    process.once("SIGINT", () => resolve("signal"));
  });
  const reason = await Promise.race([signal, program.stopped]);
  if (reason === "signal") await program.shutDown();
  process.exit(reason === "signal" ? EXIT_OK : EXIT_FAILURE);
}

function readVersion(): string {
  // Compiled files lie one folder deeper than their sources.
  const places = ["../../package.json", "../../../package.json"];
  const texts = places.flatMap((place) => {
    try {
      return [readFileSync(new URL(place, import.meta.url), "utf8")];
    } catch {
      return [];
    }
  });
  return (JSON.parse(texts[0] ?? "{}") as { version?: string }).version ?? "0";
}
