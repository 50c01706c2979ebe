/** Which weights endpoints load and drop when a document takes effect. */

import type {
  EnvironmentDocument,
  LanguageService,
  ModelVersion,
} from "./environment_document.ts";

/** Endpoint hosts that a diff counts; a host list has these fields. */
export interface CountedHost {
  readonly role: "entry" | "endpoint";
  readonly service?: string | undefined;
  readonly dataCentre: string;
  readonly state: "live" | "leaving";
}

export interface MoveInto {
  readonly dataCentre: string;
  readonly endpoints: number;
  /** Received by all these endpoints together. */
  readonly bytes: number;
}

export interface WeightMove {
  readonly service: string;
  readonly model: string;
  readonly version: string;
  readonly manifestDigest: string;
  readonly sizeBytes: number;
  /** Time that one host link takes for one copy. */
  readonly minimumS: number;
  /** Absent without a host list. */
  readonly into?: readonly MoveInto[];
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

export function planWeightMoves(
  [before, after]: readonly [EnvironmentDocument, EnvironmentDocument],
  hosts?: readonly CountedHost[],
): { moves: readonly WeightMove[]; drops: readonly WeightDrop[] } {
  const earlier = listServed(before);
  const later = listServed(after);
  return {
    moves: subtractServed(later, earlier).map((served) => {
      const { sizeBytes, digest, name } = served.version;
      const move = {
        service: served.service,
        model: served.model,
        version: name,
        manifestDigest: digest,
        sizeBytes,
        minimumS: (sizeBytes * 8) / (after.links.hostMbitPerS * 1e6),
      };
      if (hosts === undefined) return move;
      return { ...move, into: countEndpoints(after, { served, hosts }) };
    }),
    drops: subtractServed(earlier, later).map(
      ({ service, model, version }) => ({
        service,
        model,
        version: version.name,
      }),
    ),
  };
}

function listServed(document: EnvironmentDocument): readonly ServedVersion[] {
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

/** Versions that a service has in `left` but, by digest, not in `right`. */
function subtractServed(
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
  { served, hosts }: { served: ServedVersion; hosts: readonly CountedHost[] },
): readonly MoveInto[] {
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
