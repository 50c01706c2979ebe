/**
 * Finds the time after which a caller should come back while the endpoints have
 * asked this entry for a pause.
 */

import type { HttpHeaders } from "../http/mod.ts";
import {
  computeReturnDelay,
  DEFAULT_RETRY_DELAY_MS,
  spreadDelay,
} from "../scheduling/mod.ts";
import type { ReturnDelay } from "../scheduling/mod.ts";
import type { Call } from "./call.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { listEndpointViews } from "./list_endpoint_views.ts";
import { formatRetryAfter, STATUS_NOT_RUN } from "./refusal.ts";

/** Undefined if an endpoint takes requests now, or none will after a pause. */
export function findReturnDelay(
  context: GatewayContext,
  call: Call,
): ReturnDelay | undefined {
  const { availability, directory, nowMs } = context;
  if (!availability.isAnyPaused()) return undefined;
  const service = directory
    .config()
    ?.services.find(({ name }) => name === call.service);
  if (service === undefined) return undefined;
  const views = listEndpointViews(context, {
    call,
    service,
    triedEndpoints: new Set(),
    weightVersion: undefined,
  }).filter(({ isAllowed, isLeaving }) => isAllowed && !isLeaving);
  if (views.length === 0) return undefined;
  const { pausedMs, endpoint } = views.reduce((a, b) =>
    b.pausedMs < a.pausedMs ? b : a,
  );
  if (pausedMs === 0) return undefined;
  const endMs =
    call.headers.remainingMs === undefined
      ? call.deadlineMs
      : call.receivedAtMs + call.headers.remainingMs;
  return computeReturnDelay({
    pausedMs,
    pauseLengthMs: availability.pauseLengthMs(endpoint),
    callerWaitMs: Math.max(0, endMs - nowMs()),
  });
}

export function drawDelayMs(
  { random }: Pick<GatewayContext, "random">,
  { retryAfterMs, spreadMs }: ReturnDelay,
): number {
  return Math.round(retryAfterMs + spreadMs * random());
}

/**
 * The Retry-After in a refusal of an endpoint was asked of this entry. Its
 * caller gets the time at which any endpoint takes its request.
 */
export function replaceRetryAfter(
  context: GatewayContext,
  call: Call,
  answer: { readonly status: number; readonly headers: HttpHeaders },
): HttpHeaders {
  const { status, headers } = answer;
  if (status !== STATUS_NOT_RUN || headers["retry-after"] === undefined) {
    return headers;
  }
  const delay =
    findReturnDelay(context, call) ?? spreadDelay(DEFAULT_RETRY_DELAY_MS);
  return {
    ...headers,
    "retry-after": formatRetryAfter(drawDelayMs(context, delay)),
  };
}
