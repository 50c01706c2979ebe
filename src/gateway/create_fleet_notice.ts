/** Creates the notice that tells agents the published services and weights. */

import type { CallService, Directory } from "../directory/mod.ts";
import type { FleetNotice, FleetWeights } from "../wire/mod.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { readColdLimit } from "./list_endpoint_views.ts";

/**
 * Upper bound of the published age, and the age of versions that were
 * published before this process started.
 */
const MAX_PUBLISHED_FOR_MS = 3_600_000;

export function createFleetNotice({
  directory,
  clock,
  bounds,
}: Pick<GatewayContext, "directory" | "clock" | "bounds">):
  FleetNotice | undefined {
  const config = directory.config();
  if (config === undefined) return undefined;
  const models = new Set(
    config.services.flatMap(
      ({ engine }) => engine?.models.map(({ name }) => name) ?? [],
    ),
  );
  return {
    topic: "fleet",
    ...directory.position(),
    configVersion: config.version,
    services: config.services
      .filter((service) => service.engine ?? service.originAddress)
      .map((service) => ({
        ...describeService(service),
        ...createColdLimit(readColdLimit({ bounds }, service)),
      })),
    wantedWeights: [...models].flatMap((model) =>
      listWantedWeights(directory, { model, nowMs: clock.nowMs() }),
    ),
  };
}

/**
 * What agents use of a notice. It rarely changes, while the configuration
 * changes thousands of times a day and endpoints dozens of times a second.
 */
export function describeFleetContent(notice: FleetNotice): string {
  const { services, wantedWeights } = notice;
  const versions = wantedWeights.map(({ model, version }) => [model, version]);
  return JSON.stringify({ services, versions });
}

function describeService({
  name,
  engine,
  originAddress,
  originMbitPerS,
}: CallService) {
  return {
    name,
    models: engine?.models.map((model) => model.name) ?? [],
    chunkCount: engine?.chunkCount ?? 0,
    chunkBytes: engine?.chunkBytes ?? 0,
    ...(originAddress !== undefined && { originAddress }),
    ...(originMbitPerS !== undefined && { originMbitPerS }),
  };
}

function createColdLimit(coldLimitPerS: number) {
  return Number.isFinite(coldLimitPerS) ? { coldLimitPerS } : {};
}

function listWantedWeights(
  directory: Directory,
  { model, nowMs }: { readonly model: string; readonly nowMs: number },
): readonly FleetWeights[] {
  const wanted = directory.wantedWeights(model).map((item) => ({
    model,
    version: item.version,
    publishedForMs: Math.min(MAX_PUBLISHED_FOR_MS, nowMs - item.graceStartMs),
    ...(item.isAfterOutage === true && { isAfterOutage: true }),
  }));
  // Endpoints that start without weights load the version that others serve.
  const served = findCommonVersion(directory, model);
  const isKnown = wanted.some(({ version }) => version >= (served ?? 0));
  return served === undefined || isKnown
    ? wanted
    : [
        {
          model,
          version: served,
          publishedForMs: MAX_PUBLISHED_FOR_MS,
          isAfterOutage: true,
        },
        ...wanted,
      ];
}

/**
 * The version that most endpoints serve, of two equal ones the older: a single
 * entry of another writer may state any version.
 */
function findCommonVersion(
  directory: Directory,
  model: string,
): number | undefined {
  const services = (directory.config()?.services ?? []).filter(({ engine }) =>
    engine?.models.some(({ name }) => name === model),
  );
  const counts = new Map<number, number>();
  services
    .flatMap(({ name }) => directory.endpointsOf(name))
    .flatMap(({ models }) => models)
    .filter(({ name }) => name === model)
    .forEach(({ version }) =>
      counts.set(version, (counts.get(version) ?? 0) + 1),
    );
  const [common] = [...counts].sort(
    ([versionA, countA], [versionB, countB]) =>
      countB - countA || versionA - versionB,
  );
  return common?.[0];
}
