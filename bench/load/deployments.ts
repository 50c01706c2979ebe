/**
 * The published figures of the deployments in docs/load-scheduling.md, as
 * presets that can be scaled to another number of entries.
 */

import type { EngineFigures } from "./engine_model.ts";
import type { PlainFigures } from "./plain_model.ts";

export interface RouteFigures {
  readonly name: string;
  readonly kind: "stream" | "non_idempotent" | "idempotent";
  readonly service: "model" | "plain";
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly requestsPerS: number;
  readonly promptTokens: number;
  readonly events: number;
  readonly workMs: number;
  readonly objectiveMs: number;
  readonly deadlineMs: number;
  readonly worthInTime: number;
  readonly worthLate: number;
}

export interface Deployment {
  readonly name: string;
  readonly entries: number;
  readonly dataCentres: number;
  readonly regions: number;
  readonly modelEndpoints: number;
  readonly plainEndpoints: number;
  readonly engine: EngineFigures;
  readonly plain: PlainFigures;
  /** Requests per second that an endpoint takes in the time after a start. */
  readonly coldRequestsPerS: number;
  readonly coldMs: number;
  /** Standard deviation of the logarithm of prompts, answers and work. */
  readonly sizeSpread: number;
  /** Response heads contain the slowdown. */
  readonly statesSlowdown: boolean;
  readonly routes: readonly RouteFigures[];
}

/** Up to this number of entries there are as many data centres as published. */
const MAX_ENTRIES_IN_THREE = 100;
const MAX_READ_TOKENS_PER_STEP = 2_048;
const STREAM = {
  kind: "stream",
  service: "model",
  deadlineMs: 6_000,
  workMs: 0,
} as const;
const PLAIN = {
  service: "plain",
  priority: 2,
  promptTokens: 0,
  events: 1,
  worthInTime: 1,
  worthLate: 0.3,
} as const;
const SHARED = {
  dataCentres: 3,
  regions: 3,
  plain: { slots: 6, maxWaiting: 24 },
  coldRequestsPerS: 26,
  coldMs: 3_000,
} as const;
const SHARED_ENGINE = {
  slots: 12,
  maxWaiting: 24,
  stepMsPerThousandContextTokens: 0.0322,
  maxReadTokensPerStep: MAX_READ_TOKENS_PER_STEP,
} as const;

/** Callers of different urgency compete for insufficient capacity. */
const DEPLOYMENT_A: Deployment = {
  ...SHARED,
  name: "A",
  entries: 15,
  modelEndpoints: 24 + 17,
  plainEndpoints: 4,
  engine: {
    ...SHARED_ENGINE,
    stepMs: 9.27,
    stepMsPerSequence: 0.0232,
    readTokensPerS: 20_700,
    stepsPerPass: 5,
  },
  sizeSpread: 0.4,
  statesSlowdown: false,
  routes: [
    {
      ...STREAM,
      name: "transport",
      priority: 0,
      requestsPerS: 84.6,
      promptTokens: 787,
      events: 21,
      objectiveMs: 402,
      worthInTime: 3.7,
      worthLate: 0.37,
    },
    {
      ...STREAM,
      name: "family",
      priority: 1,
      requestsPerS: 80.7,
      promptTokens: 607,
      events: 14,
      objectiveMs: 402,
      worthInTime: 1.5,
      worthLate: 0.36,
    },
    {
      ...STREAM,
      name: "summary",
      priority: 2,
      requestsPerS: 115,
      promptTokens: 1_290,
      events: 21,
      objectiveMs: 1_002,
      worthInTime: 1.2,
      worthLate: 0.43,
    },
    ...createPlainRoutes({
      bookingsPerS: 24,
      lookupsPerS: 9.6,
      workMs: 57,
      objectiveMs: 302,
      deadlineMs: 3_000,
    }),
  ],
};

/** Uneven demand and uneven endpoints; streams of equal urgency. */
const DEPLOYMENT_B: Deployment = {
  ...SHARED,
  name: "B",
  entries: 24,
  modelEndpoints: 32 + 22,
  plainEndpoints: 3,
  engine: {
    ...SHARED_ENGINE,
    stepMs: 7.4,
    stepMsPerSequence: 0.0387,
    readTokensPerS: 31_900,
    stepsPerPass: 7,
  },
  sizeSpread: 0.8,
  statesSlowdown: true,
  routes: [
    {
      ...STREAM,
      name: "large",
      priority: 1,
      requestsPerS: 165,
      promptTokens: 1_290,
      events: 18,
      objectiveMs: 402,
      worthInTime: 2.4,
      worthLate: 0.6,
    },
    {
      ...STREAM,
      name: "medium",
      priority: 1,
      requestsPerS: 114,
      promptTokens: 787,
      events: 18,
      objectiveMs: 402,
      worthInTime: 2.1,
      worthLate: 0.53,
    },
    {
      ...STREAM,
      name: "small",
      priority: 1,
      requestsPerS: 128,
      promptTokens: 607,
      events: 10,
      objectiveMs: 402,
      worthInTime: 1.4,
      worthLate: 0.34,
    },
    ...createPlainRoutes({
      bookingsPerS: 35,
      lookupsPerS: 14,
      workMs: 21,
      objectiveMs: 144,
      deadlineMs: 1_500,
    }),
  ],
};

export const DEPLOYMENTS: readonly Deployment[] = [DEPLOYMENT_A, DEPLOYMENT_B];

function createPlainRoutes(
  options: Pick<RouteFigures, "workMs" | "objectiveMs" | "deadlineMs"> & {
    readonly bookingsPerS: number;
    readonly lookupsPerS: number;
  },
): readonly RouteFigures[] {
  const { bookingsPerS, lookupsPerS, ...figures } = options;
  const shared = { ...PLAIN, ...figures };
  return [
    {
      ...shared,
      name: "booking",
      kind: "non_idempotent",
      requestsPerS: bookingsPerS,
    },
    {
      ...shared,
      name: "lookup",
      kind: "idempotent",
      requestsPerS: lookupsPerS,
    },
  ];
}

/** The same load for each entry, and as many endpoints for each. */
export function scaleDeployment(
  deployment: Deployment,
  entries: number,
): Deployment {
  const factor = entries / deployment.entries;
  const isLarge = entries > MAX_ENTRIES_IN_THREE;
  return {
    ...deployment,
    entries,
    dataCentres: deployment.dataCentres * (isLarge ? 2 : 1),
    modelEndpoints: Math.max(2, Math.round(deployment.modelEndpoints * factor)),
    plainEndpoints: Math.max(2, Math.round(deployment.plainEndpoints * factor)),
    routes: deployment.routes.map((route) => ({
      ...route,
      requestsPerS: route.requestsPerS * factor,
    })),
  };
}
