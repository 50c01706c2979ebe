/** Parses the arguments of `zinniaspur` and runs one command. */

import { Command, CommanderError } from "commander";
import { runCheck } from "./check.ts";
import { runDiff } from "./diff.ts";
import { runExplain } from "./explain.ts";
import { runReport } from "./report.ts";
import type { ReportOptions } from "./report.ts";
import { EXIT_FINDINGS, EXIT_OK, EXIT_USAGE } from "./io.ts";
import type { CommandIo } from "./io.ts";
import { runPromote } from "./promote.ts";
import { runStatus } from "./status.ts";
import { readVersion } from "./version.ts";

/** Returns the exit code: 0 success, 1 findings or failure, 2 usage error. */
export async function runCommand(
  args: readonly string[],
  io: CommandIo,
): Promise<number> {
  let exitCode = EXIT_OK;
  const program = createProgram(io, (code) => {
    exitCode = code;
  });
  try {
    await program.parseAsync(args, { from: "user" });
    return exitCode;
  } catch (error) {
    if (error instanceof CommanderError) {
      return error.exitCode === 0 ? EXIT_OK : EXIT_USAGE;
    }
    io.writeError(`zinniaspur: ${(error as Error).message}\n`);
    return EXIT_FINDINGS;
  }
}

function createProgram(
  io: CommandIo,
  setExitCode: (code: number) => void,
): Command {
  const program = new Command("zinniaspur")
    .description("Checks environment documents and reads the fleet's status")
    .version(readVersion())
    .exitOverride()
    .configureOutput({ writeOut: io.write, writeErr: io.writeError });

  program
    .command("check")
    .description("report all problems of these documents")
    .argument("<files...>", "environment documents")
    .action(async (files: string[]) => setExitCode(await runCheck(files, io)));

  program
    .command("diff")
    .description("show what changes when NEW replaces OLD")
    .argument("<old>", "document in force")
    .argument("<new>", "document to publish")
    .option("--hosts <file>", "host list of the platform, as JSON")
    .action(async (before: string, after: string, options: DiffOptions) =>
      setExitCode(await runDiff({ before, after, hosts: options.hosts }, io)),
    );

  program
    .command("promote")
    .description(
      "check that PRODUCTION differs from TRIAL only in environment settings",
    )
    .argument("<trial>", "document of the trial environment")
    .argument("<production>", "document of the production environment")
    .action(async (trial: string, production: string) =>
      setExitCode(await runPromote([trial, production], io)),
    );

  program
    .command("status")
    .description("show what entries and agents report")
    .argument("[addresses...]", "HTTP addresses, as IP:port")
    .option("--platform <url>", "read addresses from the platform's host list")
    .option("--json", "print JSON")
    .action(async (addresses: string[], options: StatusOptions, command) => {
      if (addresses.length === 0 && options.platform === undefined) {
        (command as Command).error("error: give addresses or --platform");
      }
      setExitCode(await runStatus({ addresses, ...options }, io));
    });

  program
    .command("explain")
    .description("show from logs what happened to a request, and why")
    .argument("<id>", "id of the request, as given in its headers")
    .requiredOption("--logs <files...>", "log files of any processes")
    .action(async (id: string, { logs }: { readonly logs: string[] }) =>
      setExitCode(await runExplain({ id, logs }, io)),
    );

  program
    .command("report")
    .description(
      "summarise the logs of a period: outcomes by cause, lost dependencies",
    )
    .requiredOption("--logs <files...>", "log files of any processes")
    .option("--plot <file>", "write an SVG plot of the calls over time")
    .action(async (options: ReportOptions) =>
      setExitCode(await runReport(options, io)),
    );

  return program;
}

interface DiffOptions {
  readonly hosts?: string;
}

interface StatusOptions {
  readonly platform?: string;
  readonly json?: boolean;
}
