/**
 * What the entry and agent programs share: command line, settings, signals and
 * exit codes.
 */

import { readFileSync } from "node:fs";
import { Command, CommanderError } from "commander";
import type { Result } from "neverthrow";
import { formatFinding } from "../document/mod.ts";
import type { Finding } from "../document/mod.ts";

const EXIT_SUCCESS = 0;
const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;

export interface RunningProgram<Settings = unknown> {
  /** Takes over changed settings; without it they need a restart. */
  reload?(settings: Settings): void;
  /** Ends gracefully: no request in progress is cut off. */
  shutDown(): Promise<void>;
  /** Resolves with the reason if the program must end by itself. */
  readonly stopped: Promise<string>;
}

export interface ProgramOptions<Settings> {
  readonly name: string;
  readonly description: string;
  readonly loadSettings: (
    file: string,
  ) => Promise<Result<Settings, readonly Finding[]>>;
  readonly start: (settings: Settings) => Promise<RunningProgram<Settings>>;
  readonly print?: (line: string) => void;
  readonly printError?: (line: string) => void;
}

interface Flags {
  readonly settings: string;
  readonly check?: boolean;
}

/** Resolves with the exit code when the process should end. */
export async function runProgram<Settings>(
  args: readonly string[],
  options: ProgramOptions<Settings>,
): Promise<number> {
  const { print = console.log, printError = console.error } = options;
  const command = new Command(options.name)
    .description(options.description)
    .version(readVersion())
    .requiredOption("--settings <file>", "settings of this process in YAML")
    .option("--check", "check the settings and exit")
    .allowExcessArguments(false)
    .exitOverride()
    .configureOutput({
      writeOut: (text) => print(text.trimEnd()),
      writeErr: (text) => printError(text.trimEnd()),
    });
  try {
    command.parse(args, { from: "user" });
  } catch (error) {
    const isShown = error instanceof CommanderError && error.exitCode === 0;
    return isShown ? EXIT_SUCCESS : EXIT_USAGE;
  }
  const flags = command.opts<Flags>();
  const settings = await options.loadSettings(flags.settings);
  if (settings.isErr()) {
    settings.error.forEach((finding) => printError(formatFinding(finding)));
    return EXIT_FAILURE;
  }
  if (flags.check === true) {
    print(`${flags.settings}: no findings`);
    return EXIT_SUCCESS;
  }
  return runUntilStopped(settings.value, flags.settings, options);
}

async function runUntilStopped<Settings>(
  settings: Settings,
  file: string,
  options: ProgramOptions<Settings>,
): Promise<number> {
  const { name, start, printError = console.error } = options;
  const signal = waitForSignal();
  // Without a handler the signal would end the process.
  const onReload: (() => void)[] = [];
  process.on("SIGHUP", () => onReload.forEach((reload) => reload()));
  try {
    const program = await start(settings);
    const watch = watchSettings(file, options, program);
    onReload.push(watch.check);
    void signal.then(watch.close);
    const reason = await Promise.race([signal, program.stopped]);
    await program.shutDown();
    return reason === "signal" ? EXIT_SUCCESS : EXIT_FAILURE;
  } catch (error) {
    printError(`${name} failed: ${String(error)}`);
    return EXIT_FAILURE;
  }
}

/** The file can change without a signal; this is soon enough for that. */
const SETTINGS_CHECK_MS = 2_000;

/** A wrong file is refused as a whole, and the former settings stay. */
function watchSettings<Settings>(
  file: string,
  options: ProgramOptions<Settings>,
  program: RunningProgram<Settings>,
) {
  const {
    loadSettings,
    print = console.log,
    printError = console.error,
  } = options;
  let known = readIfPresent(file);

  async function check() {
    const text = readIfPresent(file);
    if (text === undefined || text === known) return;
    known = text;
    const loaded = await loadSettings(file);
    loaded.match(
      (settings) => {
        program.reload?.(settings);
        print(`${file}: changed settings taken over`);
      },
      (findings) =>
        findings.forEach((finding) => printError(formatFinding(finding))),
    );
  }

  const timer = setInterval(() => void check(), SETTINGS_CHECK_MS);
  timer.unref();
  return { check: () => void check(), close: () => clearInterval(timer) };
}

/** Undefined while the file is being replaced; it is looked at again. */
function readIfPresent(file: string): string | undefined {
  try {
    return readFileSync(file, "utf8");
  } catch {
    return undefined;
  }
}

function waitForSignal(): Promise<"signal"> {
  return new Promise((resolve) => {
    process.once("SIGTERM", () => resolve("signal"));
    process.once("SIGINT", () => resolve("signal"));
  });
}

/** Sources, compiled files and bundles lie at different depths. */
function readVersion(): string {
  const texts = [
    "../package.json",
    "../../package.json",
    "../../../package.json",
  ].flatMap((place) => {
    try {
      return [readFileSync(new URL(place, import.meta.url), "utf8")];
    } catch {
      return [];
    }
  });
  return (JSON.parse(texts[0] ?? "{}") as { version?: string }).version ?? "0";
}
