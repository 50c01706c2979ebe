import { explainRequest, parseRecords } from "../explain/mod.ts";
import type { LogRecord } from "../explain/mod.ts";
import { EXIT_FINDINGS, EXIT_OK } from "./io.ts";
import type { CommandIo } from "./io.ts";

export interface ExplainOptions {
  readonly id: string;
  readonly logs: readonly string[];
}

/**
 * Prints what happened to one request, from the logs of any number of
 * processes.
 */
export async function runExplain(
  { id, logs }: ExplainOptions,
  io: CommandIo,
): Promise<number> {
  const texts = await Promise.all(logs.map((file) => io.readFile(file)));
  const parsedLogs = texts.map(parseRecords);
  const unreadable = parsedLogs.reduce((sum, r) => sum + r.unreadableLines, 0);
  const { steps, cause } = explainRequest(
    parsedLogs.flatMap(({ records }) => records),
    id,
  );
  if (unreadable > 0) io.writeError(`${unreadable} lines could not be read\n`);
  if (steps.length === 0) {
    io.writeError(`no log line has the id ${JSON.stringify(id)}\n`);
    return EXIT_FINDINGS;
  }
  steps.forEach((step) => io.write(`${formatStep(step)}\n`));
  io.write(`cause: ${cause ?? "not known from these logs"}\n`);
  return cause === undefined ? EXIT_FINDINGS : EXIT_OK;
}

function formatStep({ time, hostname, message, fields }: LogRecord): string {
  const details = Object.entries(fields)
    .filter(([key, value]) => key !== "id" && value !== undefined)
    .map(([key, value]) => `${key}=${JSON.stringify(value)}`);
  return [time, hostname, `${message}:`, ...details].join(" ");
}
