/**
 * Resolves the head of a request to a call by the current configuration, or to
 * the reason for refusing it.
 */

import type { IncomingMessage } from "node:http";
import type { Call } from "./call.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { STATUS_NOT_RUN } from "./refusal.ts";
import type { Refusal } from "./refusal.ts";
import { chooseService, normaliseHost, removeQuery } from "./route_table.ts";
import type { RouteTable } from "./route_table.ts";

/** A starting entry has its configuration 50 to 250 ms after it listens. */
const NO_CONFIG_RETRY_MS = 200;
const STALE_CONFIG_RETRY_MS = 500;
/** API keys are refreshed about once a second. */
const STALE_KEYS_RETRY_MS = 700;
/**
 * Margin within the bound on revoked keys: the age of the API keys is checked
 * when the request head is read, and the request is accepted later.
 */
const REVOKE_MARGIN_MS = 300;
/** A new configuration has to be in effect within two seconds. */
const MAX_CONFIG_AGE_MS = 1_800;
const STALE_CONFIG: Refusal = {
  status: STATUS_NOT_RUN,
  reason: "stale_configuration",
  retryAfterMs: STALE_CONFIG_RETRY_MS,
};

/** `routeTable` is undefined before the first configuration. */
export function resolveCall(
  context: GatewayContext,
  {
    request,
    routeTable,
  }: {
    readonly request: IncomingMessage;
    readonly routeTable: RouteTable | undefined;
  },
): Omit<Call, "body"> | Refusal {
  if (routeTable === undefined) {
    return {
      status: STATUS_NOT_RUN,
      reason: "no_configuration",
      retryAfterMs: NO_CONFIG_RETRY_MS,
    };
  }
  const path = request.url ?? "/";
  const route = routeTable.findRoute(
    normaliseHost(request.headers.host),
    removeQuery(path),
  );
  if (route === undefined) {
    return isConfigStale(context)
      ? STALE_CONFIG
      : { status: 404, reason: "no_route" };
  }
  if (
    countHeaderBytes(request.rawHeaders) >
    routeTable.config.limits.maxHeaderBytes
  ) {
    return { status: 431, reason: "headers_too_large" };
  }
  const headers = context.codec.readCallHeaders(request.headers);
  const needsKey =
    routeTable.config.accounts !== undefined && !route.isAnonymous;
  const account =
    headers.apiKey === undefined
      ? undefined
      : routeTable.findAccount(headers.apiKey);
  if (needsKey && areApiKeysStale(context)) {
    return {
      status: STATUS_NOT_RUN,
      reason: "stale_keys",
      retryAfterMs: STALE_KEYS_RETRY_MS,
    };
  }
  if (needsKey && account === undefined) {
    return isConfigStale(context)
      ? STALE_CONFIG
      : { status: 401, reason: "unknown_key" };
  }
  const receivedAtMs = context.nowMs();
  const timeoutMs = Math.min(
    headers.remainingMs ?? route.timeoutMs,
    route.timeoutMs,
  );
  const service = chooseService(route, context.random()) ?? "";
  return {
    id: headers.attemptId ?? "",
    method: request.method ?? "GET",
    path,
    rawHeaders: request.rawHeaders,
    headers,
    route,
    service,
    account,
    urgency: routeTable.urgencyRanks.find(service, route, account),
    configVersion: routeTable.config.version,
    receivedAtMs,
    deadlineMs: receivedAtMs + timeoutMs,
  };
}

/** Clients do not retry a 404 or 401, so stale data must not lead to one. */
function isConfigStale({ directory }: GatewayContext): boolean {
  return directory.ageMs() > MAX_CONFIG_AGE_MS;
}

/** True if a key may have been revoked longer ago than `revokeMs` allows. */
export function areApiKeysStale(
  context: Pick<GatewayContext, "directory" | "bounds">,
): boolean {
  const { isRevocationStrict, revokeMs } = context.bounds;
  if (!isRevocationStrict) return false;
  return context.directory.ageMs() > revokeMs - REVOKE_MARGIN_MS;
}

function countHeaderBytes(rawHeaders: readonly string[]): number {
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}
