/** Chooses the endpoint for a request, or gives the reason for having none. */

import type { CallService, ListedEndpoint } from "../directory/mod.ts";
import { mayWait } from "./admit_by_wait.ts";
import type { EndpointLoad } from "./endpoint_loads.ts";
import { findCheapest } from "./find_cheapest.ts";
import { forecastFirstEventMs } from "./forecast_first_event.ts";
import { startsInTime } from "./weight_versions.ts";

/** An endpoint as a candidate for one request. */
export interface EndpointView {
  readonly endpoint: ListedEndpoint;
  readonly load: EndpointLoad;
  readonly isAllowed: boolean;
  /** It has said, here or to its agent, that it takes no further requests. */
  readonly isLeaving: boolean;
  /**
   * Time for which it has asked this entry for no requests, or for which the
   * first request after that is awaited; 0 for none.
   */
  readonly pausedMs: number;
  readonly isInBackoff: boolean;
  readonly hasColdCapacity: boolean;
  /** Requests per second that it takes from all entries; Infinity for any. */
  readonly requestLimitPerS: number;
  /** False if its request limit leaves none for this entry now. */
  readonly hasPermit: boolean;
  readonly failureRate: number;
  /** Location of the endpoint relative to this entry. */
  readonly distance: "data_centre" | "region" | "other_region";
  /**
   * What the endpoint serves for the request. Undefined for a plain service,
   * which has no model engine.
   */
  readonly model?: string | undefined;
  readonly weightVersion?: number | undefined;
  /**
   * Time left in which a request may start on the endpoint's weight version;
   * Infinity on the newest one.
   */
  readonly startWindowMs?: number;
}

export interface ChoiceOptions {
  readonly service: CallService;
  readonly promptTokens: number;
  /** Time left until the latency objective. */
  readonly timeToObjectiveMs: number;
  /** Time left until the caller stops waiting. */
  readonly timeLeftMs: number;
  /** Absent if the service has a single urgency. */
  readonly order?: RequestOrder | undefined;
  /** In [0, 1). */
  readonly random: () => number;
}

/** The place of a request in the endpoints' queues. */
export interface RequestOrder {
  /** Sent as `Request-Priority`. */
  readonly priority: number;
  /** Share of a queue that an endpoint admits before the request. */
  readonly shareAhead: number;
}

export type Choice =
  | {
      readonly type: "send";
      readonly view: EndpointView;
      readonly forecastMs: number;
      /** As in the order of the options. */
      readonly priority?: number | undefined;
      /** A better endpoint, for which this entry has no permit. */
      readonly withheld?: EndpointView | undefined;
    }
  | {
      readonly type: "none";
      readonly reason:
        | "no_endpoint"
        | "endpoints_leaving"
        | "endpoints_paused"
        | "older_version"
        | "cold"
        | "request_limit"
        | "too_busy";
      readonly listedEndpoints: number;
      readonly usableEndpoints: number;
      /** Of the best endpoint, if any was compared. */
      readonly forecastMs?: number | undefined;
      /** No endpoint can take the request sooner. */
      readonly minRetryAfterMs?: number | undefined;
      /** As for an endpoint that is chosen. */
      readonly withheld?: EndpointView | undefined;
    };

/** Callers would not wait longer; the limit may have ended by then. */
const MAX_PERMIT_INTERVAL_MS = 5_000;

export function chooseEndpoint(
  views: readonly EndpointView[],
  options: ChoiceOptions,
): Choice {
  const allowed = views.filter(({ isAllowed }) => isAllowed);
  const staying = allowed.filter(({ isLeaving }) => !isLeaving);
  const open = staying.filter(({ pausedMs }) => pausedMs === 0);
  const inTime = open.filter((view) => isVersionUsable(view, options));
  const permitted = inTime.filter(({ hasPermit }) => hasPermit);
  const notInBackoff = permitted.filter(({ isInBackoff }) => !isInBackoff);
  const usable = notInBackoff.length > 0 ? notInBackoff : permitted;
  const noEndpoint = {
    type: "none",
    listedEndpoints: views.length,
    usableEndpoints: usable.length,
  } as const;
  if (allowed.length === 0) {
    return { ...noEndpoint, reason: "no_endpoint" };
  }
  if (staying.length === 0) {
    return { ...noEndpoint, reason: "endpoints_leaving" };
  }
  if (open.length === 0) {
    return { ...noEndpoint, reason: "endpoints_paused" };
  }
  if (inTime.length === 0) {
    const minRetryAfterMs = computeLoadTimeMs(options.service);
    return { ...noEndpoint, reason: "older_version", minRetryAfterMs };
  }
  const withheld = findCheapest(
    inTime.filter(
      ({ hasPermit, isInBackoff, hasColdCapacity }) =>
        !hasPermit && !isInBackoff && hasColdCapacity,
    ),
    options,
  );
  if (permitted.length === 0) {
    const minRetryAfterMs = computePermitIntervalMs(inTime);
    return {
      ...noEndpoint,
      reason: "request_limit",
      minRetryAfterMs,
      withheld: withheld?.view,
    };
  }
  const best = findCheapest(
    usable.filter(({ hasColdCapacity }) => hasColdCapacity),
    options,
  );
  if (best === undefined) {
    return { ...noEndpoint, reason: "cold", withheld: withheld?.view };
  }
  const isBetterWithheld = (withheld?.costMs ?? Infinity) < best.costMs;
  const result = { withheld: isBetterWithheld ? withheld?.view : undefined };
  const { engine } = options.service;
  const { view, forecastMs } = best;
  const { load } = view;
  const priority = options.order?.priority;
  if (
    engine !== undefined &&
    !mayWait({ ...options, engine, load, forecastMs })
  ) {
    return { ...noEndpoint, ...result, reason: "too_busy", forecastMs };
  }
  return { ...result, type: "send", view, forecastMs, priority };
}

/** Time in which these endpoints take one request from all entries together. */
function computePermitIntervalMs(views: readonly EndpointView[]): number {
  const perS = views.reduce((sum, view) => sum + view.requestLimitPerS, 0);
  return Math.min(MAX_PERMIT_INTERVAL_MS, 1_000 / perS);
}

/** True if the request starts while the endpoint may use its weights. */
function isVersionUsable(
  { load, startWindowMs = Infinity }: EndpointView,
  { service: { engine }, promptTokens }: ChoiceOptions,
): boolean {
  if (startWindowMs === Infinity || engine === undefined) return true;
  const forecastMs = forecastFirstEventMs(engine, load, promptTokens);
  return startsInTime(startWindowMs, forecastMs);
}

/** Time that an endpoint needs to load a newer version. */
function computeLoadTimeMs({ engine }: CallService): number {
  const models = engine?.models ?? [];
  return (
    models.reduce((most, { warmUpS }) => Math.max(most, warmUpS), 0) * 1_000
  );
}
