/**
 * The parts that the entry, agent, gateway and sidecar programs share: command
 * line, settings, signals and exit codes.
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
  /** Applies changed settings. If absent, changed settings need a restart. */
  reload?(settings: Settings): void;
  /** Shuts down gracefully: no request in progress is cut off. */
  shutDown(): Promise<void>;
  /** Resolves with the reason if the program must exit without a signal. */
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

/** Resolves with the exit code when the process should exit. */
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
    const isHelpOrVersion =
      error instanceof CommanderError && error.exitCode === 0;
    return isHelpOrVersion ? EXIT_SUCCESS : EXIT_USAGE;
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
  const termination = listenForTermination();
  // Without a handler SIGHUP would end the process.
  const reloadHandlers: (() => void)[] = [];
  process.on("SIGHUP", () => reloadHandlers.forEach((reload) => reload()));
  try {
    const program = await start(settings);
    const watch = watchSettings(file, options, program);
    reloadHandlers.push(watch.check);
    void termination.signal.then(watch.close);
    const reason = await Promise.race([termination.signal, program.stopped]);
    await program.shutDown();
    return reason === "signal" ? EXIT_SUCCESS : EXIT_FAILURE;
  } catch (error) {
    printError(`${name} failed: ${String(error)}`);
    return EXIT_FAILURE;
  } finally {
    termination.close();
  }
}

/**
 * Interval of the checks for changes without a SIGHUP; 2 s is soon enough for
 * these.
 */
const SETTINGS_CHECK_INTERVAL_MS = 2_000;

/**
 * Applies changed settings. An invalid file is rejected as a whole, and the
 * current settings stay.
 */
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
  let lastText = readIfPresent(file);

  async function check() {
    const text = readIfPresent(file);
    if (text === undefined || text === lastText) return;
    lastText = text;
    const loaded = await loadSettings(file);
    loaded.match(
      (settings) => {
        program.reload?.(settings);
        print(`${file}: changed settings applied`);
      },
      (findings) =>
        findings.forEach((finding) => printError(formatFinding(finding))),
    );
  }

  const timer = setInterval(() => void check(), SETTINGS_CHECK_INTERVAL_MS);
  timer.unref();
  return { check: () => void check(), close: () => clearInterval(timer) };
}

/**
 * Undefined while the file is being replaced; the next check reads it again.
 */
function readIfPresent(file: string): string | undefined {
  try {
    return readFileSync(file, "utf8");
  } catch {
    return undefined;
  }
}

function listenForTermination() {
  let resolveSignal: (signal: "signal") => void;
  const signal = new Promise<"signal">((resolve) => (resolveSignal = resolve));
  const onSignal = () => resolveSignal("signal");
  // Without a handler a second SIGTERM would end the process at once, with all
  // requests in progress. A second SIGINT from a terminal is meant to do so.
  process.on("SIGTERM", onSignal);
  process.once("SIGINT", onSignal);
  return {
    signal,
    close() {
      process.off("SIGTERM", onSignal);
      process.off("SIGINT", onSignal);
    },
  };
}

/** Sources, compiled files and bundles are at different directory depths. */
function readVersion(): string {
  const texts = [
    "../package.json",
    "../../package.json",
    "../../../package.json",
  ].flatMap((path) => {
    try {
      return [readFileSync(new URL(path, import.meta.url), "utf8")];
    } catch {
      return [];
    }
  });
  return (JSON.parse(texts[0] ?? "{}") as { version?: string }).version ?? "0";
}
