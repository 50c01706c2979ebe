/**
 * Draws the requests of a run: a Poisson process for each route and data
 * centre, and sizes with a long tail. All policies of a seed get the same ones.
 */

import { createRandom } from "../random.ts";
import type { Random } from "../random.ts";
import type { Deployment, RouteFigures } from "./deployments.ts";
import { computeRateFactor, END_OF_ARRIVALS_MS } from "./patterns.ts";
import type { Pattern } from "./patterns.ts";

/** Sizes above this many times the mean are not drawn. */
const MAX_SIZE_FACTOR = 5;
const MIN_PROMPT_TOKENS = 16;
/** Part of a stream's worth that does not grow with its prompt. */
const FIXED_WORTH_SHARE = 0.5;

export interface DrawnRequest {
  readonly atMs: number;
  readonly route: RouteFigures;
  readonly dataCentre: number;
  readonly promptTokens: number;
  readonly events: number;
  readonly workMs: number;
  readonly worthInTime: number;
  readonly worthLate: number;
  /** Comes back at once and several times when it is refused. */
  readonly isImpatient: boolean;
}

export function drawRequests(
  deployment: Deployment,
  pattern: Pattern,
  seed: number,
): readonly DrawnRequest[] {
  const random = createRandom(seed);
  const { dataCentres, routes } = deployment;
  const firstShare = pattern.firstDataCentreShare ?? 1 / dataCentres;
  const otherShare = (1 - firstShare) / (dataCentres - 1);
  return routes
    .flatMap((route) =>
      Array.from({ length: dataCentres }, (_, dataCentre) => {
        const share = dataCentre === 0 ? firstShare : otherShare;
        return drawArrivalsMs(random, {
          maxPerS: route.requestsPerS * share * readMaxFactor(pattern),
          readShare: (atMs) =>
            computeRateFactor(pattern, routes, { route, atMs }) /
            readMaxFactor(pattern),
        }).map((atMs) =>
          drawRequest(random, { deployment, pattern, route, dataCentre, atMs }),
        );
      }).flat(),
    )
    .sort((a, b) => a.atMs - b.atMs);
}

function readMaxFactor({ load = 1, burst }: Pattern): number {
  return load * (burst?.factor ?? 1);
}

/** Thins out a process of the highest rate. */
function drawArrivalsMs(
  random: Random,
  options: {
    readonly maxPerS: number;
    readonly readShare: (atMs: number) => number;
  },
): readonly number[] {
  const times: number[] = [];
  let atMs = 0;
  for (;;) {
    atMs += (-Math.log(1 - random()) / options.maxPerS) * 1_000;
    if (atMs >= END_OF_ARRIVALS_MS) return times;
    if (random() < options.readShare(atMs)) times.push(atMs);
  }
}

function drawRequest(
  random: Random,
  options: Pick<DrawnRequest, "route" | "dataCentre" | "atMs"> & {
    readonly deployment: Deployment;
    readonly pattern: Pattern;
  },
): DrawnRequest {
  const { route, dataCentre, atMs, pattern } = options;
  const { sizeSpread } = options.deployment;
  const promptFactor = drawSizeFactor(random, sizeSpread);
  const answerFactor = drawSizeFactor(random, sizeSpread);
  const isStream = route.kind === "stream";
  const worthFactor = isStream
    ? FIXED_WORTH_SHARE + (1 - FIXED_WORTH_SHARE) * promptFactor
    : 1;
  return {
    atMs,
    route,
    dataCentre,
    promptTokens: isStream
      ? Math.max(
          MIN_PROMPT_TOKENS,
          Math.round(route.promptTokens * promptFactor),
        )
      : 0,
    events: isStream ? Math.max(1, Math.round(route.events * answerFactor)) : 1,
    workMs: route.workMs * answerFactor,
    worthInTime: route.worthInTime * worthFactor,
    worthLate: route.worthLate * worthFactor,
    isImpatient: random() < (pattern.impatientShare ?? 0),
  };
}

/** Log-normal with a mean of 1. */
function drawSizeFactor(random: Random, spread: number): number {
  for (;;) {
    const normal =
      Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    const factor = Math.exp(normal * spread - (spread * spread) / 2);
    if (factor <= MAX_SIZE_FACTOR) return factor;
  }
}
