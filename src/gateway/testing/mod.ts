/** A scripted test endpoint, and a gateway with test settings. */

import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import {
  createConfig,
  createEndpoint,
  createRoute,
  createService,
  createTestDirectory,
  createEndpointChange,
  SILENT_LOGGER,
} from "../../directory/testing/mod.ts";
import type {
  AccountRecord,
  CallRoute,
  CallService,
  EndpointRecord,
  OutageSpan,
} from "../../directory/mod.ts";
import { createRetryBudget, createStatedLimits } from "../../limits/mod.ts";
import { createInvalidValues } from "../../logging/mod.ts";
import { createRegistry } from "../../metrics/mod.ts";
import { createTrafficCounters } from "../../traffic/mod.ts";
import {
  createPromptPartQuarantine,
  createQuarantine,
} from "../../quarantine/mod.ts";
import { findFreePorts } from "../../../stand_ins/free_ports.ts";
import {
  createCandidates,
  createEndpointHealth,
  createEndpointLoads,
  createQueueMix,
  createRefusalTracker,
} from "../../scheduling/mod.ts";
import type { HeaderCodec } from "../call.ts";
import { createBufferBudget } from "../buffer_budget.ts";
import { createEndpointAvailability } from "../endpoint_availability.ts";
import { createEndpointConnections } from "../endpoint_connections.ts";
import { createCallerServer } from "../caller_server.ts";
import type { GatewayContext } from "../gateway_context.ts";
import { createRateLimits } from "../rate_limits.ts";
import { createRequestPermits } from "../request_permits.ts";
import { createVersionDeadlines } from "../version_deadlines.ts";

type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
  body: string,
) => void;

export interface TestEndpoint {
  readonly address: string;
  readonly requests: readonly IncomingMessage["headers"][];
  close(): void;
}

export async function startTestEndpoint(
  handleRequest: RequestHandler,
): Promise<TestEndpoint> {
  const requests: IncomingMessage["headers"][] = [];
  const server: Server = createServer((request, response) => {
    requests.push(request.headers);
    let body = "";
    request.on("data", (bytes: Buffer) => (body += bytes.toString()));
    request.on("end", () => {
      response.setHeader("x-attempt", request.headers["x-attempt"] ?? "");
      handleRequest(request, response, body);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    requests,
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}

/** Header names used in tests; a platform's adapter defines others. */
export const TEST_CODEC: HeaderCodec = {
  readCallHeaders: (headers) => ({
    attemptId: text(headers["x-attempt"]),
    apiKey: text(headers["x-key"]),
    lastEventId: text(headers["x-last"]),
    remainingMs: headers["x-left"] ? Number(headers["x-left"]) : undefined,
    promptTokens: 100,
    sharedPromptParts: text(headers["x-parts"])?.split(","),
    model: text(headers["x-model"]),
  }),
  writeForwardHeaders: (_, options) => [
    ...["x-left", String(options.remainingMs)],
    ...["x-expect", options.endpointId],
    ...["x-account", options.account ?? ""],
    ...(options.lastEventId === undefined
      ? []
      : ["x-last", options.lastEventId]),
    ...(options.priority === undefined
      ? []
      : ["x-priority", String(options.priority)]),
    ...["x-attempt", "a1"],
  ],
  readResponseHeaders: (headers) => ({
    attemptId: text(headers["x-attempt"]),
    isMarkedNotRun: headers["x-not-run"] !== undefined,
    isLeaving: headers["x-leaving"] !== undefined,
    endpointId: text(headers["x-endpoint"]),
    requestLimitPerS:
      headers["x-limit"] === undefined ? Infinity : Number(headers["x-limit"]),
    ...(headers["retry-after"] !== undefined && {
      retryAfterMs: Number(headers["retry-after"]) * 1_000,
    }),
  }),
  writeResponseHeaders: (headers) =>
    Object.entries(headers).flatMap(([name, value]) =>
      typeof value === "string" && !HOP_BY_HOP.has(name) ? [name, value] : [],
    ),
};

const HOP_BY_HOP = new Set(["connection", "keep-alive", "transfer-encoding"]);

function text(value: string | readonly string[] | undefined) {
  return typeof value === "string" && value !== "" ? value : undefined;
}

const WALL_MS = 1_800_000_000_000;

export interface TestGatewayOptions {
  readonly endpoints: readonly (Partial<EndpointRecord> & {
    readonly address: string;
  })[];
  readonly route?: Partial<CallRoute>;
  readonly service?: Partial<CallService>;
  readonly accounts?: readonly AccountRecord[];
  readonly retries?: number;
  readonly storeOutage?: () => OutageSpan | undefined;
  /** Limit of all bodies of requests, and of all bodies of responses. */
  readonly maxBufferedBytes?: number;
  /** False if an endpoint is found to be gone after a response without length. */
  readonly isEndConfirmed?: (endpointId: string) => boolean;
  /** False if an endpoint is found to run on after it closed a connection. */
  readonly mayHaveCrashed?: (endpointId: string) => boolean;
  /** Hosts of the entries that share request limits with this one. */
  readonly otherEntries?: readonly string[];
}

export async function startTestGateway(options: TestGatewayOptions) {
  const { directory, clock, time } = createTestDirectory({
    ...(options.storeOutage && { storeOutage: options.storeOutage }),
  });
  let skippedMs = 0;
  const nowMs = () => performance.now() + skippedMs;
  const registry = createRegistry();
  directory.apply(
    [
      {
        type: "config",
        revision: 1,
        config: createConfig({
          routes: [createRoute(options.route)],
          services: [createService(options.service)],
          ...(options.accounts && { accounts: options.accounts }),
        }),
      },
      ...options.endpoints.map((endpoint, index) =>
        createEndpointChange(createEndpoint({ id: `e${index}`, ...endpoint })),
      ),
    ],
    { revision: 1 },
  );
  directory.confirm(clock.nowMs());
  const queueMix = createQueueMix(nowMs);
  const refusalTracker = createRefusalTracker(nowMs);
  const rateLimits = createRateLimits({
    nowMs,
    ownHost: "entry-1",
    listEntryHosts: () => [],
  });
  const statedLimits = createStatedLimits({
    nowMs,
    registry,
    logger: SILENT_LOGGER,
  });
  const context: GatewayContext = {
    directory,
    clock,
    loads: createEndpointLoads(nowMs),
    health: createEndpointHealth(nowMs),
    availability: createEndpointAvailability({
      nowMs,
      registry,
      logger: SILENT_LOGGER,
    }),
    requestPermits: createRequestPermits({
      statedLimits,
      ageMs: nowMs,
      nowMs,
      // A turn ends only when a test skips time.
      wallMs: () => WALL_MS + skippedMs,
      ownHost: "entry-1",
      listEntryHosts: () => options.otherEntries ?? [],
      findAgent: () => undefined,
      mayHaveAgent: () => false,
      registry,
    }),
    noteRequestLimit: (endpoint, statement) =>
      void statedLimits.note(endpoint, statement, "response"),
    rateLimits,
    candidates: createCandidates({
      nowMs,
      random: () => 0,
      dataCentre: "kol-a",
      listEndpoints: directory.endpointsOf,
      isInContact: () => true,
      isInReserve: () => true,
    }),
    connections: createEndpointConnections(registry),
    requestBuffers: createBufferBudget(options.maxBufferedBytes ?? Infinity, {
      registry,
      purpose: "request",
    }),
    responseBuffers: createBufferBudget(options.maxBufferedBytes ?? Infinity, {
      registry,
      purpose: "response",
    }),
    endpointCheck: {
      confirmEnd: ({ id }) =>
        Promise.resolve(options.isEndConfirmed?.(id) ?? true),
      mayHaveCrashed: ({ id }) =>
        Promise.resolve(options.mayHaveCrashed?.(id) ?? true),
    },
    codec: TEST_CODEC,
    bounds: {
      revokeMs: 5_000,
      isRevocationStrict: true,
      budgetRatio: 0.2,
      budgetWindowS: 10,
      budgetExtra: 100,
      coldOverage: 1.5,
      coldSlack: 5,
      versionMs: 8_000,
      graceS: 8,
    },
    dataCentre: "kol-a",
    regions: { "kol-a": "kolkata", "sil-a": "siliguri" },
    quarantine: createQuarantine({ wallMs: Date.now, crashesToQuarantine: 3 }),
    sendCrashNotice: () => undefined,
    promptPartQuarantine: createPromptPartQuarantine({
      nowMs,
      send: () => undefined,
      rankForTrial: () => 0,
      schedule: (handle, delayMs) => void setTimeout(handle, delayMs),
      logger: SILENT_LOGGER,
    }),
    getQueueMix: () => queueMix,
    getRefusalTracker: () => refusalTracker,
    getRetryBudget: () =>
      createRetryBudget(nowMs, { getMinimum: () => options.retries ?? 10 }),
    countEntries: () => 1,
    attemptsByAddress: new Map(),
    versionDeadlines: createVersionDeadlines(directory),
    traffic: createTrafficCounters(registry),
    invalidValues: createInvalidValues({
      nowMs,
      registry,
      logger: SILENT_LOGGER,
    }),
    registry,
    logger: SILENT_LOGGER,
    nowMs,
    // Endpoints of equal cost are chosen in the order in which they are listed.
    random: () => 0,
  };
  const callerServer = createCallerServer(context);
  const [port] = await findFreePorts(1);
  await callerServer.listen(`127.0.0.1:${port}`);
  return {
    context,
    callerServer,
    time,
    url: `http://127.0.0.1:${port}`,
    /** Advances the gateway's clock; no call may be in progress. */
    skip: (ms: number) => void (skippedMs += ms),
    async close() {
      callerServer.close();
      await context.connections.close();
    },
  };
}
