import {
  listCallOutcomes,
  plotPeriod,
  parseRecords,
  reportPeriod,
} from "../explain/mod.ts";
import type { DependencyLoss, OutcomeRow } from "../explain/mod.ts";
import { formatCount } from "./format.ts";
import { EXIT_FINDINGS, EXIT_OK } from "./io.ts";
import type { CommandIo } from "./io.ts";

export interface ReportOptions {
  readonly logs: readonly string[];
  /** File to write the SVG to. */
  readonly plot?: string | undefined;
}

/**
 * Summarises the logs of a period: outcomes by cause, and lost dependencies.
 */
export async function runReport(
  { logs, plot }: ReportOptions,
  io: CommandIo,
): Promise<number> {
  const texts = await Promise.all(logs.map((file) => io.readFile(file)));
  const parsedLogs = texts.map(parseRecords);
  const records = parsedLogs.flatMap((parsedLog) => parsedLog.records);
  const unreadable = parsedLogs.reduce((sum, r) => sum + r.unreadableLines, 0);
  if (unreadable > 0) io.writeError(`${unreadable} lines could not be read\n`);
  const { from, to, outcomes, losses } = reportPeriod(records);
  if (from === undefined) {
    io.writeError("no log line could be read\n");
    return EXIT_FINDINGS;
  }
  const calls = outcomes.reduce((sum, row) => sum + row.calls, 0);
  io.write(`${from} to ${to}: ${formatCount(calls, "call")}\n`);
  outcomes.forEach((row) => io.write(`${formatOutcome(row, calls)}\n`));
  losses.forEach((loss) => io.write(`${formatLoss(loss)}\n`));
  if (plot !== undefined) {
    await io.writeFile(plot, plotPeriod(listCallOutcomes(records)));
  }
  return EXIT_OK;
}

function formatOutcome(row: OutcomeRow, calls: number): string {
  const { outcome, reason, cause } = row;
  const share = ((100 * row.calls) / calls).toFixed(2);
  const label = reason === "" ? outcome : `${outcome}, ${reason}`;
  const explanation = cause === undefined || reason === "" ? "" : `: ${cause}`;
  return `  ${row.calls} (${share} %) ${label}${explanation}`;
}

function formatLoss({ host, dependency, lostAt, lostForMs }: DependencyLoss) {
  const recovery =
    lostForMs === undefined
      ? "not regained in these logs"
      : `regained after ${lostForMs} ms`;
  return `  ${host} lost its ${dependency} at ${lostAt}, ${recovery}`;
}
