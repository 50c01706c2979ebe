/**
 * Starts an entry on a platform that publishes routes, endpoints and API keys
 * in a metadata store. Requests are forwarded directly to the endpoints.
 */

import { createServer } from "node:http";
import type { Server } from "node:http";
import {
  createAgeClock,
  createDirectory,
  startDirectoryReader,
} from "../directory/mod.ts";
import type { Directory, MetadataStore } from "../directory/mod.ts";
import { rankByHash } from "../hashing/mod.ts";
import { listenAt } from "../http/mod.ts";
import { createRetryBudget, createStatedLimits } from "../limits/mod.ts";
import { createInvalidValues } from "../logging/mod.ts";
import type { Logger } from "../logging/mod.ts";
import { startMesh } from "../mesh/mod.ts";
import type { Registry } from "../metrics/mod.ts";
import {
  createPromptPartQuarantine,
  createQuarantine,
} from "../quarantine/mod.ts";
import {
  createCandidates,
  createEndpointHealth,
  createEndpointLoads,
  createQueueMix,
  createRefusalTracker,
} from "../scheduling/mod.ts";
import { createTrafficCounters, startTrafficLog } from "../traffic/mod.ts";
import { PROMPT_PART_TOPICS } from "../wire/mod.ts";
import type {
  CrashNotice,
  EndpointLoadNotice,
  Notice,
  Peer,
  PromptPartNotice,
  RateGrantNotice,
} from "../wire/mod.ts";
import type { HeaderCodec } from "./call.ts";
import { createBufferBudget } from "./buffer_budget.ts";
import {
  createFleetNotice,
  describeFleetContent,
} from "./create_fleet_notice.ts";
import { createPerService } from "./create_per_service.ts";
import { startDirectoryExchange } from "./directory_exchange.ts";
import type { DirectoryExchange } from "./directory_exchange.ts";
import { createEndpointCheck } from "./endpoint_check.ts";
import type { CheckIncarnation, ReadStartTime } from "./endpoint_check.ts";
import { createEndpointAvailability } from "./endpoint_availability.ts";
import { createEndpointConnections } from "./endpoint_connections.ts";
import { createCallerServer } from "./caller_server.ts";
import { areApiKeysStale } from "./resolve_call.ts";
import type { GatewayBounds, GatewayContext } from "./gateway_context.ts";
import { readColdLimit } from "./list_endpoint_views.ts";
import { createRateLimits } from "./rate_limits.ts";
import { startRequestLimitExchange } from "./request_limit_exchange.ts";
import { createRequestPermits } from "./request_permits.ts";
import { stopCalls } from "./stop_calls.ts";
import { createVersionDeadlines } from "./version_deadlines.ts";

export interface GatewaySettings {
  readonly host: string;
  readonly dataCentre: string;
  /** "IP:port" for callers. */
  readonly callerAddress: string;
  /** "IP:port" of the readiness check for the load balancer. */
  readonly readyAddress: string;
  readonly peerAddress: string;
  readonly seeds: readonly string[];
  readonly regions: Readonly<Record<string, string>>;
  readonly bounds: GatewayBounds;
}

export interface GatewayOptions {
  readonly settings: GatewaySettings;
  readonly store: MetadataStore;
  readonly codec: HeaderCodec;
  readonly readStartTime: ReadStartTime;
  readonly checkIncarnation: CheckIncarnation;
  readonly registry: Registry;
  readonly logger: Logger;
}

export interface Gateway {
  /** Applies the seeds and bounds of changed settings. */
  reload(settings: GatewaySettings): void;
  /** Waits for calls in progress, within the grace period, and shuts down. */
  shutDown(): Promise<void>;
}

/**
 * Buffers are outside of the heap, whose limit does not bound them. Dropped ones
 * are freed some time later, so the limits leave room for as much again.
 */
const MAX_REQUEST_BYTES = 48 * 1024 * 1024;
const MAX_RESPONSE_BYTES = 48 * 1024 * 1024;
/** Share of the common retry budget that is used; the rest covers errors. */
const BUDGET_SHARE = 0.75;
/** Three, because endpoints also lose connections for other reasons. */
const CRASHES_TO_QUARANTINE = 3;
/** Divides budgets until the list of members is known. */
const UNKNOWN_ENTRY_COUNT = 100;
/** Interval of the check for clock jumps and pauses of this process. */
const PAUSE_CHECK_INTERVAL_MS = 100;
const MIN_PAUSE_MS = 300;

export async function startGateway(options: GatewayOptions): Promise<Gateway> {
  const { store, codec, registry, logger } = options;
  let { settings } = options;
  const nowMs = () => performance.now();
  const clock = createAgeClock();
  const directory = createDirectory({
    clock,
    logger,
    expiryWindowMs: () => reader.expiryWindowMs(),
    storeOutage: () => reader.storeOutage(),
    comparesWithPeers: true,
  });
  const reader = startDirectoryReader({
    store,
    directory,
    clock,
    registry,
    logger,
    isFed: () => directoryExchange?.isFed() === true,
    onNews: (changes) => directoryExchange?.sendNews(changes),
    onContactChange: () => directoryExchange?.onContactChange(),
  });
  let directoryExchange: DirectoryExchange | undefined = undefined;
  const mesh = await startMesh({
    ...settings,
    role: "entry",
    readConfig: () => undefined,
    registry,
    logger,
  });
  /** Before the list of members is known, as if there were many. */
  const countEntries = () =>
    Math.max(
      mesh.countEntries(),
      settings.seeds.length,
      mesh.hasMemberList() ? 0 : UNKNOWN_ENTRY_COUNT,
    );
  const connections = createEndpointConnections(registry);
  const getRetryBudget = createPerService(() =>
    createRetryBudget(nowMs, {
      retryRatio: settings.bounds.budgetRatio * BUDGET_SHARE,
      getMinimum: () =>
        (settings.bounds.budgetExtra * BUDGET_SHARE) / countEntries(),
    }),
  );
  const quarantine = createQuarantine({
    wallMs: Date.now,
    crashesToQuarantine: CRASHES_TO_QUARANTINE,
  });

  /** Entries pass crash notices on, as each is connected to some others only. */
  function sendToEntries(notice: Notice, except?: Peer) {
    mesh
      .peers()
      .filter((peer) => peer.hello.role === "entry" && peer !== except)
      .forEach((peer) => peer.sendNotice(notice));
  }

  const promptPartQuarantine = createPromptPartQuarantine({
    nowMs,
    send: (notice) => sendToEntries(notice),
    rankForTrial(part) {
      const others = mesh.listEntries().map(({ name }) => name);
      return rankByHash(part, [settings.host, ...others]).indexOf(
        settings.host,
      );
    },
    schedule: (handle, delayMs) => void setTimeout(handle, delayMs),
    logger,
  });
  const loads = createEndpointLoads(nowMs);
  const listEntryHosts = () =>
    mesh.hasMemberList()
      ? mesh.listEntries().map(({ name }) => name)
      : undefined;
  const rateLimits = createRateLimits({
    nowMs,
    ownHost: settings.host,
    listEntryHosts,
  });
  mesh.view.onChange(rateLimits.onEntriesChange);
  const statedLimits = createStatedLimits({ nowMs, registry, logger });
  const requestPermits = createRequestPermits({
    statedLimits,
    ageMs: clock.nowMs,
    nowMs,
    wallMs: Date.now,
    ownHost: settings.host,
    listEntryHosts,
    findAgent: (address) => requestLimits.findAgent(address),
    mayHaveAgent: ({ service }) => hasEngine(directory, service),
    registry,
  });
  const requestLimits = startRequestLimitExchange({
    statedLimits,
    mesh,
    isReported: loads.isReported,
    onGrant: requestPermits.onGrant,
    nowMs,
  });
  const candidates = createCandidates({
    nowMs,
    random: Math.random,
    dataCentre: settings.dataCentre,
    listEndpoints: directory.endpointsOf,
    isInContact: ({ address }) => loads.isReported(address),
    isInReserve: (endpoint, service) =>
      rateLimits.isReachable(endpoint, readColdLimit(settings, service)),
  });
  const context: GatewayContext = {
    directory,
    clock,
    loads,
    health: createEndpointHealth(nowMs),
    availability: createEndpointAvailability({ nowMs, registry, logger }),
    requestPermits,
    noteRequestLimit: (endpoint, statement) =>
      requestLimits.onStatement(endpoint, statement),
    rateLimits,
    candidates,
    connections,
    endpointCheck: createEndpointCheck({
      readStartTime: options.readStartTime,
      checkIncarnation: options.checkIncarnation,
      readListedStart: (id) => directory.endpoint(id)?.startedAtMs,
      isListening: connections.isListening,
      logger,
    }),
    requestBuffers: createBufferBudget(MAX_REQUEST_BYTES, {
      registry,
      purpose: "request",
    }),
    responseBuffers: createBufferBudget(MAX_RESPONSE_BYTES, {
      registry,
      purpose: "response",
    }),
    codec,
    get bounds() {
      return settings.bounds;
    },
    dataCentre: settings.dataCentre,
    regions: settings.regions,
    quarantine,
    sendCrashNotice: (notice) => sendToEntries(notice),
    promptPartQuarantine,
    getQueueMix: createPerService(() => createQueueMix(nowMs)),
    getRefusalTracker: createPerService(() => createRefusalTracker(nowMs)),
    getRetryBudget,
    countEntries,
    attemptsByAddress: new Map(),
    versionDeadlines: createVersionDeadlines(directory),
    traffic: createTrafficCounters(registry),
    invalidValues: createInvalidValues({ nowMs, registry, logger }),
    registry,
    logger,
    nowMs,
    random: Math.random,
  };
  directoryExchange = startDirectoryExchange({
    directory,
    clock,
    mesh,
    isInOwnRegion: (dataCentre) =>
      settings.regions[dataCentre] === settings.regions[settings.dataCentre],
    logger,
    feed: {
      selfHost: settings.host,
      dataCentre: settings.dataCentre,
      isInContact: reader.isInContact,
      onEnd: reader.resume,
      registry,
      random: Math.random,
    },
  });
  const callerServer = createCallerServer(context);
  const trafficLog = startTrafficLog({
    registry,
    logger,
    listPeers: mesh.peers,
  });
  let lastSentFleet = "";
  let isLeaving = false;

  function sendFleetToAgents() {
    const notice = createFleetNotice(context);
    if (notice === undefined) return;
    const text = describeFleetContent(notice);
    if (text === lastSentFleet) return;
    lastSentFleet = text;
    mesh.subscribers().forEach((agent) => agent.sendNotice(notice));
  }

  directory.onChange(sendFleetToAgents);
  mesh.onSubscribe((agent) => {
    const notice = createFleetNotice(context);
    if (notice !== undefined) agent.sendNotice(notice);
  });
  mesh.onPeer((peer) => {
    if (peer.hello.role !== "entry") return;
    [
      ...quarantine.listNotices(),
      ...promptPartQuarantine.listNotices(),
    ].forEach((notice) => peer.sendNotice(notice));
  });
  mesh.onNotice("crash", (peer, notice) => {
    const isNew = quarantine.applyNotice(notice as CrashNotice);
    if (isNew) sendToEntries(notice, peer);
  });
  PROMPT_PART_TOPICS.forEach((topic) =>
    mesh.onMeshNotice(topic, (peer, notice) => {
      const isNew = promptPartQuarantine.applyNotice(
        notice as PromptPartNotice,
      );
      if (isNew) sendToEntries(notice, peer);
    }),
  );
  mesh.onMeshNotice("rate_grant", (_, notice) =>
    rateLimits.onGrant(notice as RateGrantNotice),
  );
  mesh.onMeshNotice("endpoint_load", (peer, notice) => {
    const load = notice as EndpointLoadNotice;
    loads.onReport(load, peer);
    rateLimits.onShare(load.address, load.sharePerS, peer);
    requestLimits.onReport(load, peer);
    if (load.phase !== "down") return;
    const lost = context.attemptsByAddress.get(load.address) ?? [];
    [...lost].forEach((attempt) => attempt.fail("endpoint_down"));
  });

  function isReady(): boolean {
    const hasConfig = directory.config() !== undefined;
    return !isLeaving && hasConfig && !areApiKeysStale(context);
  }

  const readinessServer = await startReadinessServer(
    settings.readyAddress,
    isReady,
  );
  await callerServer.listen(settings.callerAddress);
  logger.info({ ...settings }, "entry is listening");

  let lastAgeMs = clock.nowMs();
  let lastNowMs = nowMs();
  const pauseTimer = setInterval(() => {
    const ageMs = clock.nowMs();
    const gapMs = Math.max(ageMs - lastAgeMs, nowMs() - lastNowMs);
    lastAgeMs = ageMs;
    lastNowMs = nowMs();
    if (gapMs < PAUSE_CHECK_INTERVAL_MS + MIN_PAUSE_MS) return;
    logger.warn({ gapMs }, "this process was paused or its clock jumped");
    directoryExchange.onPause();
    reader.probeNow();
  }, PAUSE_CHECK_INTERVAL_MS);

  return {
    reload(next) {
      settings = { ...settings, seeds: next.seeds, bounds: next.bounds };
      mesh.setSeeds(next.seeds);
    },
    async shutDown() {
      isLeaving = true;
      logger.info({ calls: callerServer.countCalls() }, "entry is leaving");
      const graceMs = settings.bounds.graceS * 1_000;
      await stopCalls({ callerServer, graceMs, nowMs, logger });
      logger.info({ calls: callerServer.countCalls() }, "entry has stopped");
      clearInterval(pauseTimer);
      callerServer.close();
      readinessServer.close();
      directoryExchange.close();
      trafficLog.close();
      reader.close();
      await Promise.all([
        store.close(),
        mesh.close(),
        context.connections.close(),
      ]);
    },
  };
}

/** Agents run beside the endpoints of services with model engines. */
function hasEngine(directory: Directory, service: string): boolean {
  const services = directory.config()?.services ?? [];
  return services.some(
    ({ name, engine }) => name === service && engine !== undefined,
  );
}

async function startReadinessServer(
  address: string,
  isReady: () => boolean,
): Promise<Server> {
  const server = createServer((request, response) => {
    request.resume();
    response.writeHead(isReady() ? 200 : 503, { "content-length": 0 });
    response.end();
  });
  await listenAt(server, address);
  return server;
}
