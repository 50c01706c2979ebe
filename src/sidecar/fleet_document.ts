/**
 * Creates the environment document that the weight transfer reads from the
 * platform's published state.
 */

import type { EnvironmentDocument } from "../document/mod.ts";
import type { AcceptedConfig } from "../membership/mod.ts";
import type { FleetState } from "./fleet_state.ts";

export interface FleetDocumentOptions {
  readonly fleetState: FleetState;
  /** Region of each data centre. */
  readonly regions: Readonly<Record<string, string>>;
  readonly hostMbitPerS: number;
  readonly regionMbitPerS: number;
}

/**
 * The host's link already limits the receive rate. A limit of the same rate
 * here would not recover the bandwidth unused during pauses, a third of the
 * link in a measurement.
 */
const RECEIVE_LIMIT_FACTOR = 4;
const PLACEHOLDER_ADMISSION = {
  coldConcurrency: 1,
  warmConcurrency: 1,
  maxQueued: 0,
};

export function createFleetDocument(
  options: FleetDocumentOptions,
): AcceptedConfig | undefined {
  const ownService = options.fleetState.ownService();
  const model = ownService?.models[0];
  if (ownService === undefined || model === undefined) return undefined;
  const { regions, regionMbitPerS } = options;
  const hostMbitPerS = options.hostMbitPerS * RECEIVE_LIMIT_FACTOR;
  const storeMbitPerS =
    options.fleetState.origin()?.originMbitPerS ?? options.hostMbitPerS;
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
      {
        kind: "language",
        name: ownService.name,
        model,
        admission: PLACEHOLDER_ADMISSION,
      },
    ],
    clientAccounts: [],
  };
  return { version: 1, document, publishedAtMs: 0 };
}
