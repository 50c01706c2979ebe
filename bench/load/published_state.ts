/** What entries know of a deployment from the published configuration. */

import type {
  CallRoute,
  CallService,
  EngineProfile,
  ListedEndpoint,
} from "../../src/directory/mod.ts";
import type { Deployment, RouteFigures } from "./deployments.ts";
import type { KnownEndpoint } from "./entry_policy.ts";

/** Allowed above the published cold rate, as in the platform's settings. */
const COLD_OVERAGE = 1.5;
const COLD_SLACK = 5;
export const MODEL_NAME = "m";
const ENDPOINT_PREFIX = "endpoint-";

export function createEngineProfile({
  engine,
  routes,
}: Deployment): EngineProfile {
  const streams = routes.filter(({ service }) => service === "model");
  const perS = streams.reduce((sum, route) => sum + route.requestsPerS, 0);
  const average = (read: (route: RouteFigures) => number) =>
    streams.reduce((sum, route) => sum + read(route) * route.requestsPerS, 0) /
    perS;
  return {
    ...engine,
    memoryTokens: 317_000,
    usualPromptTokens: Math.round(average((route) => route.promptTokens)),
    usualAnswerTokens: Math.round(
      average((route) => route.events) * engine.stepsPerPass,
    ),
    models: [{ name: MODEL_NAME, warmUpS: 0.3 }],
    chunkCount: 48,
    chunkBytes: 49_152,
  };
}

export function createServices(
  deployment: Deployment,
): Readonly<Record<RouteFigures["service"], CallService>> {
  return {
    model: {
      name: "model",
      maxConnections: 200,
      coldRequestsPerS: deployment.coldRequestsPerS,
      engine: createEngineProfile(deployment),
    },
    plain: { name: "plain", maxConnections: 200, coldRequestsPerS: 0 },
  };
}

export function createRoute(route: RouteFigures): CallRoute {
  return {
    name: route.name,
    host: "load.example",
    pathPrefix: `/${route.name}/`,
    kind: route.kind,
    timeoutMs: route.deadlineMs,
    objectiveMs: route.objectiveMs,
    priority: route.priority,
    services: [{ service: route.service, weight: 1 }],
    maxAttempts: 2,
    isAnonymous: false,
    isResumable: true,
    allowedRegions: [],
  };
}

export function listEndpoint(
  endpoint: Omit<KnownEndpoint, "listed">,
): ListedEndpoint {
  const { index, service, dataCentre, slots } = endpoint;
  return {
    id: createEndpointId(index),
    service,
    address: createEndpointId(index),
    dataCentre: createDataCentreName(dataCentre),
    slots,
    isDraining: false,
    coldMs: 0,
    models: service === "model" ? [{ name: MODEL_NAME, version: 1 }] : [],
    firstSeenAtMs: 0,
    listedAtMs: 0,
  };
}

export function createEndpointId(index: number): string {
  return `${ENDPOINT_PREFIX}${index}`;
}

export function readEndpointIndex(id: string): number {
  return Number(id.slice(ENDPOINT_PREFIX.length));
}

export function createDataCentreName(index: number): string {
  return `dc-${index}`;
}

/** Requests per second that a cold endpoint gets from all entries at most. */
export function computeColdLimitPerS({ coldRequestsPerS }: Deployment): number {
  return Math.floor(coldRequestsPerS * COLD_OVERAGE + COLD_SLACK);
}
