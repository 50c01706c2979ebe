/** Builders of published state for tests. */

import type { Logger } from "../../logging/mod.ts";
import { createAgeClock, createDirectory } from "../mod.ts";
import type {
  AgeClock,
  CallRoute,
  CallService,
  Directory,
  DirectoryChange,
  DirectoryOptions,
  EndpointRecord,
  RoutingConfig,
} from "../mod.ts";

function ignore() {}

export const SILENT_LOGGER = {
  debug: ignore,
  info: ignore,
  warn: ignore,
  error: ignore,
  fatal: ignore,
} as unknown as Logger;

export function createRoute(fields: Partial<CallRoute> = {}): CallRoute {
  return {
    name: "r",
    host: "desk.example",
    pathPrefix: "/a/",
    kind: "stream",
    timeoutMs: 6_000,
    objectiveMs: 500,
    priority: 1,
    services: [{ service: "pool", weight: 1 }],
    maxAttempts: 2,
    isAnonymous: false,
    isResumable: true,
    allowedRegions: [],
    ...fields,
  };
}

export const ENGINE: NonNullable<CallService["engine"]> = {
  slots: 16,
  memoryTokens: 317_000,
  stepMs: 9.27,
  stepMsPerSequence: 0.0232,
  stepMsPerThousandContextTokens: 0.0322,
  readTokensPerS: 20_700,
  stepsPerPass: 5,
  usualPromptTokens: 979,
  usualAnswerTokens: 92,
  models: [{ name: "m", warmUpS: 0.3 }],
  chunkCount: 4,
  chunkBytes: 8,
};

export function createService(fields: Partial<CallService> = {}): CallService {
  return {
    name: "pool",
    maxConnections: 100,
    coldRequestsPerS: 0,
    ...fields,
  };
}

export function createConfig(
  fields: Partial<RoutingConfig> = {},
): RoutingConfig {
  return {
    version: 1,
    routes: [createRoute()],
    services: [createService()],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 65_536,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
    accounts: [{ name: "committee", apiKeys: ["key-1"], allowedRegions: [] }],
    ...fields,
  };
}

export function createEndpoint(
  fields: Partial<EndpointRecord> = {},
): EndpointRecord {
  return {
    id: "e1",
    service: "pool",
    address: "127.0.0.1:1",
    dataCentre: "kol-a",
    slots: 16,
    isDraining: false,
    coldMs: 0,
    models: [],
    ...fields,
  };
}

export function createEndpointChange(
  endpoint: EndpointRecord,
  revision = 1,
): DirectoryChange {
  return { type: "endpoint", revision, id: endpoint.id, endpoint };
}

export interface TestClock {
  monotonic: number;
  wall: number;
}

export function createTestDirectory(
  options: Pick<
    DirectoryOptions,
    "expiryWindowMs" | "storeOutage" | "comparesWithPeers" | "schedule"
  > & {
    /** Replaces the clock that tests advance through `time`. */
    readonly clock?: AgeClock;
  } = {},
) {
  const time: TestClock = { monotonic: 0, wall: 1_000_000 };
  const clock =
    options.clock ??
    createAgeClock({
      monotonicMs: () => time.monotonic,
      wallMs: () => time.wall,
    });
  const directory: Directory = createDirectory({
    ...options,
    clock,
    logger: SILENT_LOGGER,
  });
  return { directory, clock, time };
}
