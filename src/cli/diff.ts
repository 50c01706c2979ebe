import { ok } from "neverthrow";
import type { Result } from "neverthrow";
import {
  diffDocuments,
  locateIssues,
  parseYaml,
  readText,
  toCamelCaseKeys,
} from "../document/mod.ts";
import type { DocumentDiff, Finding, WeightTransfer } from "../document/mod.ts";
import { formatBytes, formatCount, formatDuration } from "./format.ts";
import { hostListSchema } from "./host_list.ts";
import type { ListedHost } from "./host_list.ts";
import { EXIT_OK } from "./io.ts";
import type { CommandIo } from "./io.ts";
import { loadDocumentPair } from "./load_document.ts";
import { printFindings } from "./print_findings.ts";

export interface DiffFiles {
  readonly before: string;
  readonly after: string;
  /** File with the platform's host list. */
  readonly hosts?: string | undefined;
}

/** Prints what changes when `after` replaces `before`. */
export async function runDiff(
  files: DiffFiles,
  io: CommandIo,
): Promise<number> {
  const loaded = await loadDocumentPair([files.before, files.after], io);
  if (loaded.isErr()) return printFindings(loaded.error, io);
  const hosts = await loadHosts(files.hosts, io);
  if (hosts.isErr()) return printFindings(hosts.error, io);
  const [before, after] = loaded.value;
  const diff = diffDocuments(before.document, after.document, {
    nowMs: io.nowMs(),
    hosts: hosts.value,
  });
  describeDiff(diff).forEach((line) => io.write(`${line}\n`));
  const { file, text } = after;
  const findings = locateIssues(text, { file, issues: diff.issues });
  return findings.length === 0 ? EXIT_OK : printFindings(findings, io);
}

async function loadHosts(
  file: string | undefined,
  io: CommandIo,
): Promise<Result<readonly ListedHost[] | undefined, readonly Finding[]>> {
  if (file === undefined) return ok(undefined);
  const text = await readText(file, io.readFile);
  return text.andThen((content) =>
    // JSON is valid YAML, and the YAML parser gives findings a line and column.
    parseYaml(content, { file, schema: hostListSchema }).map(
      (list) => toCamelCaseKeys(list).hosts,
    ),
  );
}

function describeDiff(diff: DocumentDiff): readonly string[] {
  const lines = [
    ...diff.changes,
    ...diff.transfers.flatMap(describeWeightTransfer),
    ...diff.drops.map(
      ({ service, model, version }) =>
        `service ${service}: endpoints drop ${model} ${version}`,
    ),
  ];
  return lines.length === 0 ? ["no changes"] : lines;
}

function describeWeightTransfer(transfer: WeightTransfer): readonly string[] {
  const size = formatBytes(transfer.sizeBytes);
  const total = transfer.byDataCentre?.reduce(
    (sum, { bytes }) => sum + bytes,
    0,
  );
  return [
    `service ${transfer.service}: endpoints load ${transfer.model} ${transfer.version}, ` +
      `${size} for each replica, at least ${formatDuration(transfer.minDurationS)} over one host link`,
    ...(transfer.byDataCentre ?? []).map(({ dataCentre, endpoints, bytes }) =>
      endpoints === 0
        ? `  ${dataCentre}: no endpoints`
        : `  ${dataCentre}: ${formatBytes(bytes)} (${bytes} bytes) to ${formatCount(endpoints, "endpoint")}, of which about ${size} enter the data centre`,
    ),
    ...(total === undefined
      ? []
      : [`  all data centres: ${formatBytes(total)} (${total} bytes)`]),
  ];
}
