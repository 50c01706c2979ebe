/** Summarises the reports of entries and agents by data centre and version. */

import type { StatusReport, TransferStatus } from "../status/mod.ts";

export interface VersionProgress {
  readonly manifestDigest: string;
  /** Endpoints that transfer, hold or serve the version. */
  readonly endpoints: number;
  readonly serving: number;
  readonly bytesHeld: number;
  readonly sizeBytes: number;
  readonly percent: number;
  /**
   * Time until the last of these endpoints holds the version at its current
   * rate. Absent while an endpoint receives nothing. The duration of the
   * subsequent roll-out depends on the engines and is unknown.
   */
  readonly transferRemainingS?: number;
  /**
   * Endpoints that should serve the version and do not yet, by roll-out step.
   */
  readonly leftByStep: Readonly<Record<string, number>>;
}

export interface DataCentreStatus {
  readonly name: string;
  readonly out: boolean;
  readonly entries: number;
  readonly agents: number;
  /** Hosts whose configuration is older than the newest known one. */
  readonly lagging: readonly string[];
  readonly endpointsByPhase: Readonly<Record<string, number>>;
  readonly inFlight: number;
  readonly versions: readonly VersionProgress[];
}

export interface StatusSummary {
  /** Highest version that a process or the platform reports; 0 if none does. */
  readonly newestVersion: number;
  /** Lowest version in force; 0 if a process has none. */
  readonly oldestVersion: number;
  readonly dataCentres: readonly DataCentreStatus[];
}

export interface SummaryOptions {
  readonly publishedVersion?: number | undefined;
  /** From the published document; if absent, taken from the reports. */
  readonly dataCentresOut?: readonly string[] | undefined;
}

export function summariseStatus(
  reports: readonly StatusReport[],
  { publishedVersion = 0, dataCentresOut }: SummaryOptions,
): StatusSummary {
  const versions = reports.map((report) => report.config?.version ?? 0);
  const newestVersion = Math.max(publishedVersion, ...versions);
  const out = new Set(dataCentresOut ?? readReportedDataCentresOut(reports));
  const names = new Set([...reports.map((r) => r.dataCentre), ...out]);
  return {
    newestVersion,
    oldestVersion: versions.length === 0 ? 0 : Math.min(...versions),
    dataCentres: [...names].sort().map((name) => ({
      name,
      out: out.has(name),
      ...summariseDataCentre(
        reports.filter((report) => report.dataCentre === name),
        newestVersion,
      ),
    })),
  };
}

/** Data centres that are out according to the newest configuration reported. */
function readReportedDataCentresOut(
  reports: readonly StatusReport[],
): readonly string[] {
  const newest = reports
    .flatMap(({ config }) => (config === undefined ? [] : [config]))
    .toSorted((a, b) => b.version - a.version)
    .find(({ dataCentresOut }) => dataCentresOut !== undefined);
  return newest?.dataCentresOut ?? [];
}

function summariseDataCentre(
  reports: readonly StatusReport[],
  newestVersion: number,
): Omit<DataCentreStatus, "name" | "out"> {
  const agents = reports.filter(({ role }) => role === "agent");
  const phases = agents.map(({ phase }) => phase ?? "unknown");
  return {
    entries: reports.length - agents.length,
    agents: agents.length,
    lagging: reports
      .filter(({ config }) => (config?.version ?? 0) < newestVersion)
      .map(({ host }) => host),
    endpointsByPhase: countEach(phases),
    inFlight: reports.reduce((sum, { inFlight }) => sum + inFlight, 0),
    versions: summariseVersions(agents),
  };
}

function summariseVersions(
  agents: readonly StatusReport[],
): readonly VersionProgress[] {
  const digests = new Set(
    agents.flatMap((agent) => [
      ...agent.transfers.map(({ manifestDigest }) => manifestDigest),
      ...(agent.servingDigest === undefined ? [] : [agent.servingDigest]),
    ]),
  );
  return [...digests].sort().map((digest) => {
    const transfers = agents.flatMap((agent) =>
      agent.transfers.filter((t) => t.manifestDigest === digest),
    );
    const involved = agents.filter(
      (agent) => agent.servingDigest === digest || hasTransfer(agent, digest),
    );
    const bytesHeld = sum(transfers.map((t) => t.bytesHeld));
    const sizeBytes = sum(transfers.map((t) => t.sizeBytes));
    const transferRemainingS = estimateRemaining(transfers);
    const notServing = involved.filter((agent) => !isServing(agent, digest));
    return {
      manifestDigest: digest,
      endpoints: involved.length,
      serving: involved.length - notServing.length,
      bytesHeld,
      sizeBytes,
      percent: sizeBytes === 0 ? 100 : (100 * bytesHeld) / sizeBytes,
      ...(transferRemainingS === undefined ? {} : { transferRemainingS }),
      leftByStep: countEach(
        notServing
          .filter((agent) => hasTransfer(agent, digest))
          .map(({ rollout }) => rollout ?? "unknown"),
      ),
    };
  });
}

function hasTransfer({ transfers }: StatusReport, digest: string): boolean {
  return transfers.some((t) => t.manifestDigest === digest);
}

function isServing(agent: StatusReport, digest: string): boolean {
  const { servingDigest, phase } = agent;
  return servingDigest === digest && (phase === "warm" || phase === "cold");
}

function countEach(names: readonly string[]): Readonly<Record<string, number>> {
  return Object.fromEntries(
    [...new Set(names)]
      .sort()
      .map((name) => [name, names.filter((n) => n === name).length]),
  );
}

function estimateRemaining(
  transfers: readonly TransferStatus[],
): number | undefined {
  const seconds = transfers
    .filter(({ bytesHeld, sizeBytes }) => bytesHeld < sizeBytes)
    .map(({ bytesHeld, sizeBytes, bytesPerS }) =>
      bytesPerS > 0 ? (sizeBytes - bytesHeld) / bytesPerS : undefined,
    );
  if (seconds.includes(undefined)) return undefined;
  return Math.max(0, ...seconds.map((value) => value ?? 0));
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
