/**
 * Finds the endpoint with the lowest cost for a request. Load pattern: many
 * entries that decide at the same time by the same reports. If each took the
 * lowest cost of all endpoints, they would send to the same ones. Each request
 * is therefore compared at a few random endpoints, and the load of each is drawn
 * from what it can be since the endpoint was last heard of.
 */

import type { ChoiceOptions, EndpointView } from "./choose_endpoint.ts";
import type { EndpointLoad } from "./endpoint_loads.ts";
import { forecastFirstEventMs } from "./forecast_first_event.ts";
import { sample } from "./sample.ts";

/**
 * Endpoints that a request is compared at. With 8 of 24 or more the entries meet
 * at the same endpoints again; with fewer some of their capacity stays unused.
 */
const COMPARED = 6;
/** Of these, endpoints of the own data centre, whose reports are newer. */
const COMPARED_NEAR = 4;
/** Loads that are known better than this are compared at all endpoints. */
const MIN_SPREAD = 0.3;
/**
 * Cost of the network distance: bytes between data centres are scarce. Lower
 * than the cost of one more queued prompt, so that load still spreads to distant
 * endpoints.
 */
const DISTANCE_COST_MS = {
  data_centre: 0,
  region: 12,
  other_region: 25,
} as const;
/**
 * Added for an endpoint that fails every request: the delay that a failed
 * request costs its caller. A single failure shifts hardly any load.
 */
const FAILURE_COST_MS = 400;
/** Cost of a plain endpoint whose slots are all in use. */
const FULL_COST_MS = 200;

export interface CostedView {
  readonly view: EndpointView;
  readonly forecastMs: number;
  readonly costMs: number;
}

export function findCheapest(
  views: readonly EndpointView[],
  options: ChoiceOptions,
): CostedView | undefined {
  const isSampled =
    views.length > COMPARED &&
    views.some(({ load }) => load.requestsSpread >= MIN_SPREAD);
  if (!isSampled) return findCheapestOf(views, options);
  const best = findCheapestOf(sampleViews(views, options), options);
  // A request must not be late at a few while others have room.
  return best !== undefined && best.forecastMs <= options.timeToObjectiveMs
    ? best
    : findCheapestOf(views, options);
}

function findCheapestOf(
  views: readonly EndpointView[],
  options: ChoiceOptions,
): CostedView | undefined {
  return views
    .map((view) => estimateCost(view, options))
    .reduce<CostedView | undefined>(
      (a, b) => (a !== undefined && a.costMs <= b.costMs ? a : b),
      undefined,
    );
}

function sampleViews(
  views: readonly EndpointView[],
  { random }: ChoiceOptions,
): readonly EndpointView[] {
  const near = views.filter(({ distance }) => distance === "data_centre");
  const far = views.filter(({ distance }) => distance !== "data_centre");
  const nearCount = Math.max(COMPARED_NEAR, COMPARED - far.length);
  const sampled = sample(near, nearCount, random);
  return [...sampled, ...sample(far, COMPARED - sampled.length, random)];
}

function estimateCost(view: EndpointView, options: ChoiceOptions): CostedView {
  const { random } = options;
  const { load } = view;
  const forecastMs = forecastMsAt(view, load, options);
  const drawnMs =
    load.requestsSpread === 0
      ? forecastMs
      : forecastMsAt(view, drawLoad(load, random), options);
  const costMs =
    drawnMs +
    load.roundTripMs +
    DISTANCE_COST_MS[view.distance] +
    view.failureRate * FAILURE_COST_MS +
    random();
  return { view, forecastMs, costMs };
}

function forecastMsAt(
  { endpoint }: EndpointView,
  load: EndpointLoad,
  { service: { engine }, promptTokens }: ChoiceOptions,
): number {
  return engine === undefined
    ? (load.requests / Math.max(1, endpoint.slots)) * FULL_COST_MS
    : forecastFirstEventMs(engine, load, promptTokens);
}

function drawLoad(load: EndpointLoad, random: () => number): EndpointLoad {
  const change = Math.max(
    -load.requests,
    drawNormal(random) * load.requestsSpread,
  );
  return {
    ...load,
    requests: load.requests + change,
    requestsAhead: load.requestsAhead + change,
  };
}

/** Approximates the normal distribution by the sum of four uniform numbers. */
function drawNormal(random: () => number): number {
  return (random() + random() + random() + random() - 2) * Math.sqrt(3);
}
