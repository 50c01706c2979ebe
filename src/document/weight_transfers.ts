/**
 * Determines which weights endpoints load and drop when a document takes
 * effect.
 */

import type {
  EnvironmentDocument,
  LanguageService,
  ModelVersion,
} from "./environment_document.ts";

/** The fields of a host list entry that `diffDocuments` reads. */
export interface HostPlacement {
  readonly role: "entry" | "endpoint";
  readonly service?: string | undefined;
  readonly dataCentre: string;
  readonly state: "live" | "leaving";
}

export interface DataCentreTransfer {
  readonly dataCentre: string;
  readonly endpoints: number;
  /** Total that these endpoints receive. */
  readonly bytes: number;
}

export interface WeightTransfer {
  readonly service: string;
  readonly model: string;
  readonly version: string;
  readonly manifestDigest: string;
  readonly sizeBytes: number;
  /** Time to transfer one copy at the full rate of one host link. */
  readonly minDurationS: number;
  /** Absent without a host list. */
  readonly byDataCentre?: readonly DataCentreTransfer[];
}

export interface WeightDrop {
  readonly service: string;
  readonly model: string;
  readonly version: string;
}

export interface ServedVersion {
  readonly service: string;
  readonly model: string;
  readonly version: ModelVersion;
}

export function planWeightTransfers(
  [before, after]: readonly [EnvironmentDocument, EnvironmentDocument],
  hosts?: readonly HostPlacement[],
): { transfers: readonly WeightTransfer[]; drops: readonly WeightDrop[] } {
  const servedBefore = listServedVersions(before);
  const servedAfter = listServedVersions(after);
  return {
    transfers: subtractVersions(servedAfter, servedBefore).map((served) => {
      const { sizeBytes, digest, name } = served.version;
      const transfer = {
        service: served.service,
        model: served.model,
        version: name,
        manifestDigest: digest,
        sizeBytes,
        minDurationS: (sizeBytes * 8) / (after.links.hostMbitPerS * 1e6),
      };
      if (hosts === undefined) return transfer;
      return {
        ...transfer,
        byDataCentre: countEndpoints(after, { served, hosts }),
      };
    }),
    drops: subtractVersions(servedBefore, servedAfter).map(
      ({ service, model, version }) => ({
        service,
        model,
        version: version.name,
      }),
    ),
  };
}

function listServedVersions(
  document: EnvironmentDocument,
): readonly ServedVersion[] {
  return document.services
    .filter(
      (service): service is LanguageService => service.kind === "language",
    )
    .flatMap((service) => {
      const model = document.models.find(({ name }) => name === service.model);
      const version = model?.versions.find(
        ({ name }) => name === model.servingVersion,
      );
      if (version === undefined) return [];
      return [{ service: service.name, model: service.model, version }];
    });
}

/**
 * Versions in `left` that the same service does not have in `right`, by digest.
 */
function subtractVersions(
  left: readonly ServedVersion[],
  right: readonly ServedVersion[],
): readonly ServedVersion[] {
  return left.filter(
    (item) =>
      !right.some(
        (other) =>
          other.service === item.service &&
          other.version.digest === item.version.digest,
      ),
  );
}

function countEndpoints(
  document: EnvironmentDocument,
  { served, hosts }: { served: ServedVersion; hosts: readonly HostPlacement[] },
): readonly DataCentreTransfer[] {
  return document.dataCentres.map(({ name }) => {
    const endpoints = hosts.filter(
      (host) =>
        host.role === "endpoint" &&
        host.state === "live" &&
        host.service === served.service &&
        host.dataCentre === name,
    ).length;
    return {
      dataCentre: name,
      endpoints,
      bytes: endpoints * served.version.sizeBytes,
    };
  });
}
