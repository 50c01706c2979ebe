/** Plans the hosts of a bench fleet and creates its environment documents. */

import { createHash } from "node:crypto";
import { stringify } from "yaml";
import { createModelFiles } from "../stand_ins/model_files.ts";
import type { ModelFilesOptions } from "../stand_ins/model_files.ts";

export const LANGUAGE_SERVICE = "assistant";
export const LEDGER_SERVICE = "ledger";
export const MODEL = "assistant-model";
export const VERSIONS = ["v1", "v2", "v3"] as const;
export type VersionName = (typeof VERSIONS)[number];

export interface PlannedDataCentre {
  readonly name: string;
  readonly region: string;
  readonly entries: number;
  readonly languageEndpoints: number;
  readonly ledgerEndpoints: number;
}

export interface PlannedHost {
  readonly name: string;
  readonly role: "entry" | "endpoint";
  readonly service?: string;
  readonly dataCentre: string;
  /** Loopback address that no other host uses. */
  readonly ip: string;
}

export interface DocumentOptions {
  readonly servingVersion: VersionName;
  readonly outDataCentres: readonly string[];
}

export interface FleetPlan {
  readonly hosts: readonly PlannedHost[];
  readonly files: ModelFilesOptions;
  digestOf(version: VersionName): string;
  createDocument(options: DocumentOptions): string;
}

export interface FleetPlanOptions {
  readonly dataCentres: readonly PlannedDataCentre[];
  readonly files: ModelFilesOptions;
  readonly hostMbitPerS: number;
  readonly storeMbitPerS: number;
  readonly regionMbitPerS: number;
  readonly coldConcurrency: number;
  readonly warmConcurrency: number;
  readonly requestsPerS: number;
  /** Second byte of the loopback addresses; derived from the pid by default. */
  readonly addressBlock?: number;
}

export interface BenchAccount {
  readonly name: string;
  readonly apiKey: string;
  readonly priority: number;
}

export const ACCOUNTS: readonly BenchAccount[] = [
  { name: "pandal-committees", apiKey: "key-pandal", priority: 1 },
  { name: "wedding-decorators", apiKey: "key-wedding", priority: 0 },
];

export function planFleet(options: FleetPlanOptions): FleetPlan {
  // Each run has its own block of loopback addresses, so that parallel runs do
  // not collide.
  const block = options.addressBlock ?? 1 + (process.pid % 250);
  const hosts = options.dataCentres.flatMap((dataCentre, index) =>
    planDataCentre(dataCentre, `127.${block}.${index + 1}`),
  );
  const digests = new Map(
    VERSIONS.map((version) => [
      version,
      createModelFiles(MODEL, version, options.files).manifestDigest,
    ]),
  );
  const runners = hosts
    .filter((host) => host.service === LEDGER_SERVICE)
    .map((host) => host.name);

  return {
    hosts,
    files: options.files,
    digestOf: (version) => digests.get(version)!,
    createDocument: ({ servingVersion, outDataCentres }) =>
      stringify({
        environment: "trial",
        deployment: "bench",
        regions: [...new Set(options.dataCentres.map((d) => d.region))].map(
          (name) => ({ name }),
        ),
        data_centres: options.dataCentres.map(({ name, region }) => ({
          name,
          region,
          out: outDataCentres.includes(name),
        })),
        links: {
          host_mbit_per_s: options.hostMbitPerS,
          store_mbit_per_s: options.storeMbitPerS,
          region_mbit_per_s: options.regionMbitPerS,
        },
        models: [
          {
            name: MODEL,
            versions: VERSIONS.map((name) => ({
              name,
              digest: digests.get(name),
              size_bytes: options.files.sizeBytes,
            })),
            serving_version: servingVersion,
          },
        ],
        services: [
          {
            name: LANGUAGE_SERVICE,
            kind: "language",
            model: MODEL,
            admission: {
              cold_concurrency: options.coldConcurrency,
              warm_concurrency: options.warmConcurrency,
              max_queued: options.warmConcurrency,
            },
          },
          ...(runners.length === 0 ? [] : [createLedgerSection(runners)]),
        ],
        client_accounts: ACCOUNTS.map(({ name, apiKey, priority }) => ({
          name,
          api_key_sha256: createHash("sha256").update(apiKey).digest("hex"),
          requests_per_s: options.requestsPerS,
          priority,
        })),
      }),
  };
}

function planDataCentre(
  dataCentre: PlannedDataCentre,
  network: string,
): readonly PlannedHost[] {
  const { name } = dataCentre;
  const kinds = [
    { kind: "entry", count: dataCentre.entries, firstHostNumber: 1 },
    {
      kind: LANGUAGE_SERVICE,
      count: dataCentre.languageEndpoints,
      firstHostNumber: 20,
    },
    {
      kind: LEDGER_SERVICE,
      count: dataCentre.ledgerEndpoints,
      firstHostNumber: 10,
    },
  ];
  return kinds.flatMap(({ kind, count, firstHostNumber }) =>
    Array.from({ length: count }, (_, index): PlannedHost => {
      const ip = `${network}.${firstHostNumber + index}`;
      const base = { name: `${kind}-${name}-${index + 1}`, dataCentre: name };
      return kind === "entry"
        ? { ...base, ip, role: "entry" }
        : { ...base, ip, role: "endpoint", service: kind };
    }),
  );
}

function createLedgerSection(runners: readonly string[]) {
  return {
    name: LEDGER_SERVICE,
    kind: "plain",
    admission: { cold_concurrency: 4, warm_concurrency: 32, max_queued: 32 },
    routes: [
      { method: "GET", path_prefix: "/bookings", repeatable: true },
      { method: "POST", path_prefix: "/bookings", repeatable: false },
    ],
    runner_sets: [{ from: "2026-01-01T00:00:00Z", runners }],
    runner_lead_s: 86_400,
    max_keys: 100_000,
  };
}
