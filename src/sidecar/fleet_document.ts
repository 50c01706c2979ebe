/**
 * The part of an environment document that the transfer of weights reads,
 * derived from what the platform publishes.
 */

import type { EnvironmentDocument } from "../document/mod.ts";
import type { AcceptedConfig } from "../membership/mod.ts";
import type { FleetFacts } from "./fleet_facts.ts";

export interface FleetDocumentOptions {
  readonly facts: FleetFacts;
  /** Region of each data centre. */
  readonly regions: Readonly<Record<string, string>>;
  readonly hostMbitPerS: number;
  readonly regionMbitPerS: number;
}

/**
 * The host's link bounds what arrives by itself. A bound of the same size here
 * would lose what a pause leaves unused: measured, a third of the link.
 */
const RECEIVE_HEADROOM = 4;
const NO_ADMISSION = { coldConcurrency: 1, warmConcurrency: 1, maxQueued: 0 };

export function describeFleetDocument(
  options: FleetDocumentOptions,
): AcceptedConfig | undefined {
  const own = options.facts.ownService();
  const model = own?.models[0];
  if (own === undefined || model === undefined) return undefined;
  const { regions, regionMbitPerS } = options;
  const hostMbitPerS = options.hostMbitPerS * RECEIVE_HEADROOM;
  const storeMbitPerS =
    options.facts.origin()?.originMbitPerS ?? options.hostMbitPerS;
  const document: EnvironmentDocument = {
    environment: "platform",
    deployment: "platform",
    regions: [...new Set(Object.values(regions))].map((name) => ({ name })),
    dataCentres: Object.entries(regions).map(([name, region]) => ({
      name,
      region,
      out: false,
    })),
    links: { hostMbitPerS, storeMbitPerS, regionMbitPerS },
    models: [{ name: model, versions: [], servingVersion: "" }],
    services: [
      { kind: "language", name: own.name, model, admission: NO_ADMISSION },
    ],
    clientAccounts: [],
  };
  return { version: 1, document, publishedAtMs: 0 };
}
