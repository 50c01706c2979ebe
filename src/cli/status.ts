import { formatFinding } from "../document/mod.ts";
import type { EnvironmentDocument } from "../document/mod.ts";
import { isIpAndPort } from "../settings/mod.ts";
import type { StatusReport } from "../status/mod.ts";
import { collectStatus } from "./collect_status.ts";
import type { CollectedStatus } from "./collect_status.ts";
import { formatBytes, formatDuration } from "./format.ts";
import { EXIT_FINDINGS, EXIT_OK, EXIT_USAGE } from "./io.ts";
import type { CommandIo } from "./io.ts";
import { readPlatform } from "./read_platform.ts";
import type { PlatformState } from "./read_platform.ts";
import { summariseStatus } from "./summarise_status.ts";
import type {
  DataCentreStatus,
  StatusSummary,
  VersionProgress,
} from "./summarise_status.ts";

export interface StatusRequest {
  /** "IP:port" */
  readonly addresses: readonly string[];
  readonly platform?: string | undefined;
  readonly json?: boolean | undefined;
}

const EMPTY_PLATFORM_STATE: PlatformState = {
  targets: [],
  withoutAddress: [],
  failures: [],
};

/** Prints what processes report; fails if a process could not be read. */
export async function runStatus(
  { addresses, platform, json = false }: StatusRequest,
  io: CommandIo,
): Promise<number> {
  const malformed = addresses.filter((address) => !isIpAndPort(address));
  if (malformed.length > 0) {
    io.writeError(`error: not an IP:port address: ${malformed.join(", ")}\n`);
    return EXIT_USAGE;
  }
  const published =
    platform === undefined
      ? EMPTY_PLATFORM_STATE
      : await readPlatform(platform, io);
  const listed = new Set(published.targets.map(({ address }) => address));
  const collected = await collectStatus(
    [
      ...published.targets,
      ...[...new Set(addresses)]
        .filter((address) => !listed.has(address))
        .map((address) => ({ address })),
    ],
    io,
  );
  const summary = summariseStatus(collected.reports, {
    publishedVersion: published.publishedVersion,
    dataCentresOut: published.document?.dataCentres
      .filter(({ out }) => out)
      .map(({ name }) => name),
  });
  const lines = json
    ? [formatJson({ published, collected, summary })]
    : describeStatus({ published, collected, summary });
  lines.forEach((line) => io.write(`${line}\n`));
  const isComplete =
    collected.unreachable.length === 0 &&
    published.failures.length === 0 &&
    collected.reports.every(({ rejected }) => rejected === undefined);
  return isComplete ? EXIT_OK : EXIT_FINDINGS;
}

interface StatusData {
  readonly published: PlatformState;
  readonly collected: CollectedStatus;
  readonly summary: StatusSummary;
}

function formatJson({ published, collected, summary }: StatusData): string {
  const { publishedVersion, withoutAddress, failures } = published;
  return JSON.stringify(
    {
      ...(publishedVersion !== undefined && { publishedVersion }),
      ...summary,
      unreachable: collected.unreachable,
      withoutAddress,
      failures,
      reports: collected.reports,
    },
    undefined,
    2,
  );
}

function describeStatus(status: StatusData): readonly string[] {
  const { published, collected, summary } = status;
  return [
    describeConfig(status),
    ...summary.dataCentres.flatMap((dataCentre) =>
      describeDataCentre(dataCentre, published.document),
    ),
    ...describeRejected(collected.reports),
    ...(published.withoutAddress.length === 0
      ? []
      : [
          `not read, no HTTP address in the host list: ${published.withoutAddress.join(", ")}`,
        ]),
    ...published.failures.map((failure) => `unreachable: ${failure}`),
    ...collected.unreachable.map(({ address, host, reason }) =>
      host === undefined
        ? `unreachable: ${address}: ${reason}`
        : `unreachable: ${host} (${address}): ${reason}`,
    ),
  ];
}

function describeConfig({ published, collected, summary }: StatusData): string {
  const { newestVersion, oldestVersion, dataCentres } = summary;
  const count = collected.reports.length;
  if (count === 0) return "no process has reported";
  const lagging = dataCentres.reduce((sum, d) => sum + d.lagging.length, 0);
  const isPublished = published.publishedVersion === newestVersion;
  return (
    `config version ${newestVersion}${isPublished ? " (published)" : ""}: ` +
    (lagging === 0
      ? `in force in all of ${count}`
      : `${lagging} of ${count} processes lag, the oldest at ${oldestVersion}`)
  );
}

function describeDataCentre(
  dataCentre: DataCentreStatus,
  document: EnvironmentDocument | undefined,
): readonly string[] {
  const { name, out, entries, agents, lagging, inFlight } = dataCentre;
  const phases = formatCounts(dataCentre.endpointsByPhase);
  return [
    `data centre ${name}${out ? " (out)" : ""}`,
    `  processes: entries ${entries}, agents ${agents}, requests in flight ${inFlight}`,
    ...(lagging.length === 0
      ? []
      : [`  config lags on: ${formatNames(lagging)}`]),
    ...(phases.length === 0 ? [] : [`  endpoints: ${phases}`]),
    ...dataCentre.versions.map(
      (version) =>
        `  ${formatVersion(version.manifestDigest, document)}: ${describeProgress(version)}`,
    ),
  ];
}

function describeProgress(version: VersionProgress): string {
  const { endpoints, serving, bytesHeld, sizeBytes, percent } = version;
  const { transferRemainingS, leftByStep } = version;
  const servingText = `${serving} of ${endpoints} serve`;
  if (sizeBytes === 0) return servingText;
  const heldText =
    `${formatBytes(bytesHeld)} of ${formatBytes(sizeBytes)} held ` +
    `(${Math.floor(percent)}%)`;
  if (serving === endpoints) return `${servingText}, ${heldText}`;
  const steps = formatCounts(leftByStep);
  const rolloutText = steps === "" ? "" : `, roll-out not done (${steps})`;
  return `${servingText}, ${heldText}, ${describeTransfer(transferRemainingS)}${rolloutText}`;
}

/** Covers only the transfer: no process knows how long engines take to load. */
function describeTransfer(remainingS: number | undefined): string {
  if (remainingS === undefined)
    return "transfer: some endpoints receive no data";
  if (remainingS === 0) return "transfer done";
  return `transfer done in about ${formatDuration(remainingS)}`;
}

function formatCounts(counts: Readonly<Record<string, number>>): string {
  return Object.entries(counts)
    .map(([name, count]) => `${count} ${name}`)
    .join(", ");
}

function formatVersion(
  digest: string,
  document: EnvironmentDocument | undefined,
): string {
  const short = digest.slice(0, "sha256:".length + 12);
  const found = (document?.models ?? []).flatMap((model) =>
    model.versions
      .filter((version) => version.digest === digest)
      .map((version) => `${model.name} ${version.name} (${short})`),
  )[0];
  return found ?? short;
}

function describeRejected(reports: readonly StatusReport[]): readonly string[] {
  const versions = new Set(
    reports.flatMap(({ rejected }) => rejected?.version ?? []),
  );
  return [...versions]
    .sort((a, b) => a - b)
    .flatMap((version) => {
      const rejecting = reports.filter((r) => r.rejected?.version === version);
      const findings = rejecting[0]?.rejected?.findings ?? [];
      return [
        `config version ${version} is rejected by ${formatNames(rejecting.map(({ host }) => host))}`,
        ...findings.map((finding) => `  ${formatFinding(finding)}`),
      ];
    });
}

function formatNames(names: readonly string[]): string {
  const shown = names.slice(0, 10).join(", ");
  return names.length <= 10 ? shown : `${shown} and ${names.length - 10} more`;
}
