/**
 * The agent process on the host of one endpoint: admits or refuses requests,
 * controls the engine's model version, and reports the endpoint's state to
 * entries and other agents.
 */

import { serve } from "@hono/node-server";
import type { AddressInfo, Server } from "node:net";
import { createAdmission } from "../admission/mod.ts";
import { createEndpointClient, createEndpointMonitor } from "../engine/mod.ts";
import { formatAddress, splitAddress } from "../http/mod.ts";
import { createKeyFloor, createKeyTable } from "../idempotency/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { Registry } from "../metrics/mod.ts";
import type { Node } from "../node/mod.ts";
import { createQuarantine } from "../quarantine/mod.ts";
import { createRollout, createSwitchDecider } from "../rollout/mod.ts";
import type { WeightDistributor } from "../weights/mod.ts";
import type { CrashNotice, Notice, Peer } from "../wire/mod.ts";
import { createAgentCounters } from "./agent_counters.ts";
import {
  createAgentStatusReader,
  registerAgentGauges,
} from "./agent_status.ts";
import { SYSTEM_CLOCK } from "./clock.ts";
import type { Clock } from "./clock.ts";
import { createCrashDetector } from "./crash_detector.ts";
import { createEndpointControl } from "./endpoint_control.ts";
import { handleRequest } from "./handle_request.ts";
import { createHttpApp } from "./http_app.ts";
import { createLoadReports } from "./load_reports.ts";
import { findOwnListing, isListedAtOtherAddress } from "./own_listing.ts";
import { createPauseCheck } from "./pause_check.ts";
import type { RequestContext } from "./request_context.ts";
import { createSwitchViewReader, readTarget } from "./rollout_view.ts";
import { findService } from "./service_config.ts";

/** Used until the configuration document sets a limit for the service. */
const DEFAULT_MAX_KEYS = 10_000;
/**
 * Time for load reports to tell entries of the shutdown. Requests that arrive
 * in this time are refused instead of failing on a closed connection.
 */
const LEAVING_NOTICE_MS = 500;

export interface AgentProcessSettings {
  readonly service: string;
  /** "IP:port"; port 0 picks a free port. */
  readonly httpAddress: string;
  readonly endpointUrl: string;
  readonly drainTimeoutMs: number;
}

export interface AgentOptions {
  readonly node: Node;
  readonly weights: WeightDistributor;
  readonly settings: AgentProcessSettings;
  readonly registry: Registry;
  readonly logger: Logger;
  readonly clock?: Clock;
  /** Interval between reads of the engine's state; shorter in tests. */
  readonly pollIntervalMs?: number;
}

export interface Agent {
  /** Starts polling the endpoint's state and serving HTTP. */
  start(): Promise<void>;
  /** "IP:port" of the HTTP interface; the bound port once it has started. */
  httpAddress(): string;
  isReady(): boolean;
  /** Resolves with the reason when this agent has stopped permanently. */
  readonly stopped: Promise<string>;
  /** Refuses new requests and resolves when those in progress have ended. */
  shutDown(): Promise<void>;
  close(): Promise<void>;
}

export function createAgent(options: AgentOptions): Agent {
  const { node, weights, settings, registry, logger } = options;
  const clock = options.clock ?? SYSTEM_CLOCK;
  const { identity, view } = node;
  const { service } = settings;
  const counters = createAgentCounters(registry);
  const client = createEndpointClient(settings.endpointUrl);
  const keyFloor = createKeyFloor(identity.startedAtMs);
  // During a pause a replacement agent may have started and run requests
  // with idempotency keys.
  const pauseCheck = createPauseCheck({
    clock,
    onPause: () => keyFloor.raiseToNow(clock.wallMs()),
  });
  const keyTable = createKeyTable({ floor: keyFloor, maxKeys: readMaxKeys });
  const quarantine = createQuarantine({ wallMs: clock.wallMs });
  const monitor = createEndpointMonitor({
    client,
    kind: () => readService()?.kind,
    wallMs: clock.wallMs,
    ...(options.pollIntervalMs === undefined
      ? {}
      : { intervalMs: options.pollIntervalMs }),
  });
  const admission = createAdmission({
    limits: () => readService()?.admission,
    monotonicMs: clock.monotonicMs,
    onChange: () => reports.update(),
  });
  const control = createEndpointControl({
    identity,
    service,
    view,
    monitor,
    admission,
    wallMs: clock.wallMs,
    raiseConfigFloor: (version) => node.raiseConfigFloor(version),
    onChange() {
      reports.update();
      publishServingState();
    },
  });
  const reports = createLoadReports({
    read: () => ({
      service,
      phase: control.phase(),
      ...createDigestField(control.digest()),
      inFlight: admission.inFlight(),
      queued: admission.queued(),
      limit: admission.limit(),
    }),
    peers: () => node.peers(),
    monotonicMs: clock.monotonicMs,
  });
  const crashDetector = createCrashDetector({
    endpoint: identity.host,
    monitor,
    quarantine,
    wallMs: clock.wallMs,
    onConnectionLost: (notice) =>
      node.peers().forEach((peer) => peer.sendNotice(notice)),
    onCrash(notice) {
      counters.crashNotices.increment({ source: "own" });
      logger.warn(
        { fingerprint: notice.fingerprint },
        "request crashed the endpoint",
      );
      node.peers().forEach((peer) => peer.sendNotice(notice));
    },
  });
  const rollout = createRollout({
    weights,
    monitor,
    client,
    admission,
    control,
    switchDecider: createSwitchDecider(clock.monotonicMs),
    readTarget: () => readTarget(node, service),
    readSwitchView: createSwitchViewReader({ node, weights, service }),
    incarnation: identity.incarnation,
    sourceUrl: (digest) => `http://${httpAddress}/v1/weights/${digest}`,
    monotonicMs: clock.monotonicMs,
    wallMs: clock.wallMs,
    loadOrders: counters.loadOrders,
    logger,
  });
  const context: RequestContext = {
    node,
    service,
    client,
    control,
    admission,
    keyTable,
    keyFloor,
    quarantine,
    crashDetector,
    pauseCheck,
    clock,
    counters,
    logger,
  };
  let httpAddress = settings.httpAddress;
  let server: Server | undefined;
  let publishedServingState = "";
  let resolveStopped: (reason: string) => void;
  const stopped = new Promise<string>((resolve) => (resolveStopped = resolve));
  const activeRequests = new Set<Promise<void>>();

  function readService() {
    const config = view.config();
    return config && findService(config.document, service);
  }

  function readMaxKeys(): number {
    const ownService = readService();
    return ownService?.kind === "plain" ? ownService.maxKeys : DEFAULT_MAX_KEYS;
  }

  function publishServingState() {
    const digest = control.digest();
    const phase = control.phase();
    if (`${digest} ${phase}` === publishedServingState) return;
    publishedServingState = `${digest} ${phase}`;
    weights.setServingState(digest, phase);
  }

  /** A later incarnation of this host replaces this one permanently. */
  function checkIncarnation(incarnation: string, source: string) {
    if (incarnation > identity.incarnation) stopAsReplaced(source);
  }

  function stopAsReplaced(source: string) {
    if (control.isStopped()) return;
    counters.failures.increment({ kind: "superseded" });
    logger.error(
      { source },
      "a later incarnation of this host is running; refusing all requests",
    );
    control.stopPermanently();
    resolveStopped("superseded");
  }

  function handlePeer(peer: Peer) {
    const { host, role, incarnation } = peer.hello;
    if (host === identity.host && role === "agent") {
      checkIncarnation(incarnation, "peer");
    }
    reports.sendTo(peer);
    quarantine.listNotices().forEach((notice) => peer.sendNotice(notice));
  }

  node.onPeer(handlePeer);
  node.onReplaced?.(() => stopAsReplaced("node"));
  // Peers may have connected before this agent was created.
  node.peers().forEach(handlePeer);
  // If the host list gives this host's name another address, a later
  // incarnation may run there; connecting to it reveals its incarnation.
  node.addPeerChooser(() =>
    [findOwnListing(node)].flatMap((host) =>
      host !== undefined && isListedAtOtherAddress(node) ? [host] : [],
    ),
  );
  monitor.onStatus(({ phase, fencing }, previous) => {
    if (phase !== previous.phase) counters.phaseChanges.increment({ phase });
    if (fencing !== undefined) checkIncarnation(fencing[1], "engine");
  });
  node.onNotice("crash", (peer, notice) => forwardCrashNotice(peer, notice));
  node.onStream("request", (peer, stream) => {
    const handled = handleRequest(peer, stream, context)
      .catch((error: unknown) => {
        counters.failures.increment({ kind: "internal" });
        logger.error({ err: error }, "request handling failed");
        stream.reset("internal_error");
      })
      .finally(() => activeRequests.delete(handled));
    activeRequests.add(handled);
  });
  const sources = {
    context,
    weights,
    readTarget: () => readTarget(node, service),
    rolloutPhase: rollout.phase,
  };
  registerAgentGauges(registry, sources);

  function forwardCrashNotice(from: Peer, notice: Notice) {
    if (!quarantine.applyNotice(notice as CrashNotice)) return;
    counters.crashNotices.increment({ source: "peer" });
    node
      .peers()
      .filter((peer) => peer !== from)
      .forEach((peer) => peer.sendNotice(notice));
  }

  function isReady(): boolean {
    return view.config() !== undefined && !control.isLeaving();
  }

  async function waitForActiveRequests() {
    const deadline = createTimeout(settings.drainTimeoutMs);
    let hasTimedOut = false;
    void deadline.promise.then(() => (hasTimedOut = true));
    while (activeRequests.size > 0 && !hasTimedOut) {
      await Promise.race([Promise.all([...activeRequests]), deadline.promise]);
    }
    deadline.clear();
    if (activeRequests.size > 0) {
      logger.warn(
        { requests: activeRequests.size },
        "drain timeout expired with requests still in progress",
      );
    }
  }

  return {
    stopped,
    isReady,
    httpAddress: () => httpAddress,
    async start() {
      const app = createHttpApp({
        weights,
        registry,
        isReady,
        readStatus: createAgentStatusReader(sources),
      });
      const { host, port } = splitAddress(settings.httpAddress);
      server = await listen(app.fetch, { hostname: host, port });
      httpAddress = formatAddress(server.address() as AddressInfo);
      view.onChange(() => rollout.triggerStep());
      weights.onComplete(() => rollout.triggerStep());
      monitor.onStatus(({ phase }, previous) => {
        if (phase !== previous.phase) rollout.triggerStep();
      });
      monitor.start();
      rollout.start();
    },
    async shutDown() {
      control.shutDown();
      const notice = createTimeout(LEAVING_NOTICE_MS);
      await Promise.all([notice.promise, waitForActiveRequests()]);
    },
    async close() {
      control.stopPermanently();
      monitor.close();
      reports.close();
      pauseCheck.close();
      await rollout.close();
      const closingServer = server;
      if (closingServer !== undefined) {
        (
          closingServer as { closeAllConnections?: () => void }
        ).closeAllConnections?.();
        await new Promise((resolve) => closingServer.close(resolve));
      }
      await client.close();
    },
  };
}

function createDigestField(digest: string | undefined) {
  return digest === undefined ? {} : { versionDigest: digest };
}

function listen(
  fetch: Parameters<typeof serve>[0]["fetch"],
  address: { readonly hostname: string; readonly port: number },
): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = serve({ fetch, ...address }, () =>
      resolve(server as Server),
    );
    server.once("error", reject);
  });
}

function createTimeout(durationMs: number) {
  let timer: NodeJS.Timeout;
  const promise = new Promise<void>((resolve) => {
    timer = setTimeout(resolve, durationMs);
  });
  return { promise, clear: () => clearTimeout(timer) };
}
