/**
 * Named patterns of load and of the endpoints' conditions. Times are from the
 * start of the run, whose first part settles and is not measured.
 */

import type { RouteFigures } from "./deployments.ts";

/** Arrivals before this are not measured. */
export const SETTLE_MS = 2_000;
export const END_OF_ARRIVALS_MS = 10_000;

const BURST_FACTOR = 2.6;
const SLOWDOWN = 2.5;
const SLOW_CHANGE_MS = 600;
const PLAIN_SLOWDOWN = 4;

export interface Span {
  readonly fromMs: number;
  readonly toMs: number;
}

export interface Burst extends Span {
  readonly routes: "least_urgent" | "most_urgent" | "both" | "all";
  readonly factor: number;
}

export interface Slowness {
  readonly service: RouteFigures["service"];
  /** Of the endpoints; at least one is slow. */
  readonly share: number;
  readonly factor: number;
  /** Others become slow after this time; Infinity if the same stay slow. */
  readonly changeMs: number;
  /** False if the endpoints state and report their usual speed. */
  readonly isStated: boolean;
}

export interface Pattern {
  readonly name: string;
  readonly description: string;
  /** Share of the full load. */
  readonly load?: number;
  readonly burst?: Burst;
  readonly slowness?: Slowness;
  /** These endpoints hold no weights until they start, and are cold then. */
  readonly starts?: { readonly share: number; readonly atMs: number };
  /** These endpoints take no requests for the time of a version switch. */
  readonly switches?: Span & { readonly share: number };
  /** Share of the callers in the first data centre. */
  readonly firstDataCentreShare?: number;
  /** Callers that return at once, as often as they can. */
  readonly impatientShare?: number;
}

const BURST: Span = { fromMs: 3_000, toMs: 7_000 };

export const PATTERNS: readonly Pattern[] = [
  { name: "steady", description: "full load" },
  {
    name: "burst-least",
    description: "4 s of 2.6 times the requests of the least urgent route",
    burst: { ...BURST, routes: "least_urgent", factor: BURST_FACTOR },
  },
  {
    name: "burst-most",
    description: "4 s of 2.6 times the requests of the most urgent route",
    burst: { ...BURST, routes: "most_urgent", factor: BURST_FACTOR },
  },
  {
    name: "burst-both",
    description: "both bursts at once",
    burst: { ...BURST, routes: "both", factor: BURST_FACTOR },
  },
  {
    name: "slow-third",
    description: "a third of the model endpoints is slower by 2.5",
    slowness: {
      service: "model",
      share: 1 / 3,
      factor: SLOWDOWN,
      changeMs: Infinity,
      isStated: true,
    },
  },
  {
    name: "slow-changing",
    description: "15% of the model endpoints, others every 600 ms, by 2.5",
    slowness: {
      service: "model",
      share: 0.15,
      factor: SLOWDOWN,
      changeMs: SLOW_CHANGE_MS,
      isStated: true,
    },
  },
  {
    name: "cold-half",
    description: "half of the model endpoints start at 3 s",
    starts: { share: 0.5, atMs: 3_000 },
  },
  {
    name: "one-data-centre",
    description: "70% of the callers are in one data centre",
    firstDataCentreShare: 0.7,
  },
  {
    name: "returning",
    description: "1.5 s of 2.6 times all requests; 20% of callers come at once",
    burst: { routes: "all", factor: BURST_FACTOR, fromMs: 3_000, toMs: 4_500 },
    impatientShare: 0.2,
  },
  {
    name: "switch",
    description: "a third of the model endpoints is away from 4 to 6 s",
    switches: { share: 1 / 3, fromMs: 4_000, toMs: 6_000 },
  },
  {
    name: "slow-plain",
    description: "0.3 of the load; one plain endpoint is 4 times as slow",
    load: 0.3,
    slowness: {
      service: "plain",
      share: 0,
      factor: PLAIN_SLOWDOWN,
      changeMs: Infinity,
      isStated: false,
    },
  },
  {
    name: "slow-plain-swap",
    description: "as slow-plain, another endpoint every 600 ms",
    load: 0.3,
    slowness: {
      service: "plain",
      share: 0,
      factor: PLAIN_SLOWDOWN,
      changeMs: SLOW_CHANGE_MS,
      isStated: false,
    },
  },
];

/** Factor of the request rate of a route at a time. */
export function computeRateFactor(
  { load = 1, burst }: Pattern,
  routes: readonly RouteFigures[],
  { route, atMs }: { readonly route: RouteFigures; readonly atMs: number },
): number {
  if (burst === undefined || atMs < burst.fromMs || atMs >= burst.toMs) {
    return load;
  }
  return isInBurst(burst, routes, route) ? load * burst.factor : load;
}

function isInBurst(
  burst: Burst,
  routes: readonly RouteFigures[],
  route: RouteFigures,
): boolean {
  if (burst.routes === "all") return true;
  const streams = routes
    .filter(({ service }) => service === "model")
    .sort((a, b) => a.priority - b.priority || b.worthInTime - a.worthInTime);
  const isMost = route.name === streams[0]?.name;
  const isLeast = route.name === streams.at(-1)?.name;
  if (burst.routes === "both") return isMost || isLeast;
  return burst.routes === "most_urgent" ? isMost : isLeast;
}
