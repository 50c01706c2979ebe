/** Lookups in the accepted configuration that concern one endpoint. */

import { matchRoute, normalizePath } from "../document/mod.ts";
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

export function isDataCentreOut(
  document: EnvironmentDocument,
  name: string,
): boolean {
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

/** False without a matching route: nothing declares the request repeatable. */
export function isRouteRepeatable(
  service: PlainService,
  method: string,
  path: string,
): boolean {
  const routePath = normalizePath(path.split("?", 1)[0]!);
  if (routePath === undefined) return false;
  return matchRoute(service, method, routePath)?.repeatable ?? false;
}
