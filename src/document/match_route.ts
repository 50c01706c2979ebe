/** Finds the document's route for a request to a plain service. */

import type { PlainService, Route } from "./environment_document.ts";

/**
 * Undefined if the service could resolve the path to a different route than
 * this system does. Otherwise an encoded path could make a non-repeatable
 * request match a repeatable route.
 */
export function normalizePath(path: string): string | undefined {
  if (/%2f|%5c|%00|\\/i.test(path)) return undefined;
  try {
    const decoded = decodeURIComponent(path);
    return /\/\/|\/\.{1,2}(\/|$)/.test(decoded) ? undefined : decoded;
  } catch {
    return undefined;
  }
}

/**
 * The route with the longest prefix of whole path segments. Of routes with
 * equally long prefixes, a non-repeatable one is preferred.
 */
export function matchRoute(
  service: PlainService,
  method: string,
  path: string,
): Route | undefined {
  return service.routes
    .filter((route) => route.method.toUpperCase() === method)
    .filter(({ pathPrefix }) => hasPrefix(path, pathPrefix))
    .sort(
      (a, b) =>
        b.pathPrefix.length - a.pathPrefix.length ||
        Number(a.repeatable) - Number(b.repeatable),
    )[0];
}

function hasPrefix(path: string, prefix: string): boolean {
  const trimmed = prefix.endsWith("/") ? prefix.slice(0, -1) : prefix;
  return path === trimmed || path.startsWith(`${trimmed}/`);
}
