/** Look-ups in the accepted configuration that concern one endpoint. */

import type {
  EnvironmentDocument,
  LanguageService,
  Model,
  ModelVersion,
  PlainService,
  Service,
} from "../document/mod.ts";

export function findService(
  document: EnvironmentDocument,
  name: string,
): Service | undefined {
  return document.services.find((service) => service.name === name);
}

export function isOut(document: EnvironmentDocument, name: string): boolean {
  const found = document.dataCentres.find((centre) => centre.name === name);
  return found?.out ?? false;
}

export function findModel(
  document: EnvironmentDocument,
  service: LanguageService,
): Model | undefined {
  return document.models.find((model) => model.name === service.model);
}

export function findServingVersion(
  document: EnvironmentDocument,
  service: Service | undefined,
): ModelVersion | undefined {
  if (service?.kind !== "language") return undefined;
  const model = findModel(document, service);
  return model?.versions.find(({ name }) => name === model.servingVersion);
}

/** The longest matching prefix decides; a call without a route repeats. */
export function isRouteRepeatable(
  service: PlainService,
  method: string,
  path: string,
): boolean {
  const matching = service.routes
    .filter((route) => route.method.toUpperCase() === method.toUpperCase())
    .filter((route) => path.startsWith(route.pathPrefix))
    .sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  return matching[0]?.repeatable ?? true;
}
