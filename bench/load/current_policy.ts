/**
 * The decisions of `src/scheduling/` as the gateway combines them. Only this
 * module of the benchmark depends on their interfaces.
 */

import type { CallService } from "../../src/directory/mod.ts";
import {
  chooseEndpoint,
  computeRequestPriority,
  createCandidates,
  createEndpointHealth,
  createEndpointLoads,
  createQueueMix,
  createRefusalTracker,
  createUrgencyRanks,
  DEFAULT_RETRY_DELAY_MS,
  spreadDelay,
} from "../../src/scheduling/mod.ts";
import type { EndpointView, RequestOrder } from "../../src/scheduling/mod.ts";
import type { RouteFigures } from "./deployments.ts";
import { computeDistance } from "./entry_policy.ts";
import type {
  EntryPolicy,
  EntryPolicyOptions,
  PendingRequest,
} from "./entry_policy.ts";
import {
  createEndpointId,
  createRoute,
  createServices,
  MODEL_NAME,
  readEndpointIndex,
} from "./published_state.ts";

const DISTANCES = ["data_centre", "region", "other_region"] as const;

export function createCurrentPolicy(options: EntryPolicyOptions): EntryPolicy {
  const { deployment, nowMs, random, endpoints } = options;
  const services = createServices(deployment);
  const routes = new Map(
    deployment.routes.map((route) => [route.name, createRoute(route)]),
  );
  const ranks = createUrgencyRanks({ routes: [...routes.values()] });
  const listed = endpoints.map((endpoint) => endpoint.listed);
  const listedByService = {
    model: listed.filter(({ service }) => service === "model"),
    plain: listed.filter(({ service }) => service === "plain"),
  };
  const loads = createEndpointLoads(nowMs);
  const health = createEndpointHealth(nowMs);
  const trackers = {
    model: createRefusalTracker(nowMs),
    plain: createRefusalTracker(nowMs),
  };
  const queueMixes = {
    model: createQueueMix(nowMs),
    plain: createQueueMix(nowMs),
  };
  const candidates = createCandidates({
    nowMs,
    random,
    dataCentre: `dc-${options.dataCentre}`,
    listEndpoints: (service) =>
      listedByService[service as RouteFigures["service"]],
    isInContact: ({ address }) => loads.isReported(address),
    isInReserve: ({ id }) => options.isReachable(readEndpointIndex(id)),
  });

  function findUrgency({ name, service }: RouteFigures) {
    return ranks.find(service, routes.get(name)!, undefined);
  }

  function findOrder(route: RouteFigures): RequestOrder | undefined {
    const priority = computeRequestPriority(findUrgency(route), false);
    if (priority === undefined) return undefined;
    const shareAhead = queueMixes[route.service].readShareAhead(priority);
    return { priority, shareAhead };
  }

  function listViews(
    service: CallService,
    { route, triedEndpoints }: PendingRequest,
  ): readonly EndpointView[] {
    const usualPromptTokens = service.engine?.usualPromptTokens ?? 0;
    const urgency = findUrgency(route).rank;
    const shareAhead = findOrder(route)?.shareAhead;
    return candidates.list(service).map((endpoint) => {
      const { index, dataCentre } = endpoints[readEndpointIndex(endpoint.id)]!;
      const load = loads.read(endpoint.address, {
        usualPromptTokens,
        urgency,
        slots: endpoint.slots,
        shareAhead,
      });
      const isModel = service.engine !== undefined;
      return {
        endpoint,
        load,
        isAllowed:
          !triedEndpoints.has(index) &&
          (!isModel || load.report?.phase !== "loading"),
        isLeaving: false,
        pausedMs: 0,
        isInBackoff: health.isInBackoff(endpoint.id),
        hasColdCapacity: options.hasColdCapacity(index),
        requestLimitPerS: Infinity,
        hasPermit: true,
        failureRate: health.failureRate(endpoint.id),
        distance:
          DISTANCES[
            computeDistance(deployment, options.dataCentre, dataCentre)
          ],
        model: isModel ? MODEL_NAME : undefined,
        weightVersion: isModel ? 1 : undefined,
        startWindowMs: Infinity,
      };
    });
  }

  function drawDelayMs(retryAfterMs: number): number {
    const delay = spreadDelay(retryAfterMs);
    return Math.round(delay.retryAfterMs + delay.spreadMs * random());
  }

  return {
    onReport({ endpoint, isOpen, running, waiting, slowdown }) {
      loads.onReport({
        topic: "endpoint_load",
        address: createEndpointId(endpoint),
        phase: isOpen ? "warm" : "loading",
        models: [{ name: MODEL_NAME, version: 1 }],
        running,
        waiting,
        memoryUsedTokens: 0,
        memoryTotalTokens: 0,
        slowdown,
      });
    },
    decide(request) {
      const { route, promptTokens, deadlineMs, triedEndpoints } = request;
      const service = services[route.service];
      const tracker = trackers[route.service];
      const timeLeftMs = deadlineMs - nowMs();
      const elapsedMs = nowMs() - request.arrivedAtMs;
      const choice = chooseEndpoint(listViews(service, request), {
        service,
        promptTokens,
        timeToObjectiveMs:
          triedEndpoints.size === 0
            ? route.objectiveMs - elapsedMs
            : timeLeftMs,
        timeLeftMs,
        order: findOrder(route),
        random,
      });
      if (choice.type === "none") {
        tracker.countRefused();
        const retryAfterMs = drawDelayMs(
          Math.max(choice.minRetryAfterMs ?? 0, tracker.computeRetryDelayMs()),
        );
        return { type: "refuse", retryAfterMs };
      }
      tracker.countAdmitted();
      return {
        type: "send",
        endpoint: readEndpointIndex(choice.view.endpoint.id),
        priority: choice.priority,
      };
    },
    onSend({ route, promptTokens }, { endpoint, priority }) {
      const id = createEndpointId(endpoint);
      const sentAtMs = nowMs();
      const tracked = loads.trackRequest(id, {
        promptTokens,
        urgency: findUrgency(route).rank,
      });
      const stopWaiting =
        priority === undefined
          ? undefined
          : queueMixes[route.service].track(priority);
      return {
        onHead(statement) {
          tracked.markStarted();
          stopWaiting?.();
          loads.onResponse(id, statement, sentAtMs);
        },
        onEnd(isServed) {
          tracked.end();
          stopWaiting?.();
          if (isServed) health.onSuccess(id);
        },
        onNotRun(statement) {
          tracked.markStarted();
          tracked.end();
          stopWaiting?.();
          loads.onResponse(id, statement, sentAtMs);
        },
      };
    },
    drawRetryDelayMs: () => drawDelayMs(DEFAULT_RETRY_DELAY_MS),
  };
}
