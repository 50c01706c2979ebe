/** The program `zinniaspur-entry`: from its arguments to its exit code. */

import { Command, CommanderError } from "commander";
import type { Result } from "neverthrow";
import { formatFinding } from "../document/mod.ts";
import type { Finding } from "../document/mod.ts";
import { createLogger } from "../logging/mod.ts";
import type { Logger } from "../logging/mod.ts";
import { createRegistry } from "../metrics/mod.ts";
import type { Registry } from "../metrics/mod.ts";
import type { Node } from "../node/mod.ts";
import { createEntry } from "./entry.ts";
import type { EntrySettings } from "./entry_settings.ts";

const EXIT_SUCCESS = 0;
const EXIT_FAILURE = 1;
const EXIT_USAGE = 2;

export interface RunEntryOptions<S extends EntrySettings> {
  /** Arguments after the program's name. */
  readonly args: readonly string[];
  readonly version: string;
  readonly loadSettings: (
    file: string,
  ) => Promise<Result<S, readonly Finding[]>>;
  readonly startNode: (
    settings: S,
    parts: { readonly registry: Registry; readonly logger: Logger },
  ) => Promise<Node>;
  readonly readHost: (settings: S) => string;
  readonly print: (line: string) => void;
  readonly printError: (line: string) => void;
  /** Resolves when the process is told to leave. */
  readonly waitForSignal: () => Promise<string>;
}

interface Arguments {
  readonly settings: string;
  readonly check?: boolean;
}

/** Resolves with the exit code. */
export async function runEntry<S extends EntrySettings>(
  options: RunEntryOptions<S>,
): Promise<number> {
  const { print, printError } = options;
  const parsed = parseArguments(options);
  if (typeof parsed === "number") return parsed;
  const settings = await options.loadSettings(parsed.settings);
  if (settings.isErr()) {
    settings.error.forEach((finding) => printError(formatFinding(finding)));
    return EXIT_FAILURE;
  }
  if (parsed.check === true) {
    print(`${parsed.settings}: no findings`);
    return EXIT_SUCCESS;
  }
  return serve(settings.value, options);
}

function parseArguments<S extends EntrySettings>({
  args,
  version,
  print,
  printError,
}: RunEntryOptions<S>): Arguments | number {
  const command = new Command("zinniaspur-entry")
    .description("Takes requests over HTTP and routes them to endpoints")
    .version(version)
    .requiredOption("--settings <file>", "settings of this process (YAML)")
    .option("--check", "validate the settings and exit")
    .allowExcessArguments(false)
    .exitOverride()
    .configureOutput({
      writeOut: (text) => print(text.trimEnd()),
      writeErr: (text) => printError(text.trimEnd()),
    });
  try {
    return command.parse(args, { from: "user" }).opts<Arguments>();
  } catch (error) {
    if (!(error instanceof CommanderError)) throw error;
    return error.exitCode === 0 ? EXIT_SUCCESS : EXIT_USAGE;
  }
}

async function serve<S extends EntrySettings>(
  settings: S,
  options: RunEntryOptions<S>,
): Promise<number> {
  const logger = createLogger("zinniaspur-entry", options.readHost(settings));
  const registry = createRegistry();
  // Listening for the signal first, so that one during the start is not lost.
  const signalled = options.waitForSignal();
  const node = await options.startNode(settings, { registry, logger });
  const entry = createEntry({ node, settings, registry, logger });
  const listening = await entry.listen();
  if (listening.isErr()) {
    logger.fatal(
      { httpAddress: settings.httpAddress, code: listening.error },
      "Could not listen for callers",
    );
    await node.close();
    return EXIT_FAILURE;
  }
  logger.info({ httpAddress: listening.value }, "Listening for callers");
  const signal = await signalled;
  logger.info({ signal }, "Received a signal to leave");
  await entry.shutDown();
  await node.close();
  return EXIT_SUCCESS;
}
