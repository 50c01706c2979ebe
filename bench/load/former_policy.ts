/**
 * The policy before requests had an urgency and response heads counted, kept as
 * a baseline: each entry sends to the endpoint with the shortest forecast by
 * delayed reports and its own requests, and refuses what would be late.
 */

import { computeDistance } from "./entry_policy.ts";
import type {
  EntryPolicy,
  EntryPolicyOptions,
  KnownEndpoint,
  LoadReport,
  PendingRequest,
} from "./entry_policy.ts";
import {
  createFormerRefusedShare,
  forecastFormerly,
  isAdmittedFormerly,
} from "./former_rule.ts";
import type { FormerLoad } from "./former_rule.ts";
import { createEngineProfile } from "./published_state.ts";

const REPORT_VALID_MS = 3_000;
const REPORT_DELAY_MS = 8;
const REFRESH_INTERVAL_MS = 500;
const DISTANCE_COST_MS = [0, 12, 25] as const;
const FULL_COST_MS = 200;
const MIN_RETRY_DELAY_MS = 120;
const MAX_RETRY_DELAY_MS = 1_500;
const REFUSED_BY_ENDPOINT_DELAY_MS = 300;
const RETRY_JITTER_SHARE = 0.5;

interface OwnRequest {
  readonly sentAtMs: number;
  readonly promptTokens: number;
  hasStarted: boolean;
}

interface LoadRecord {
  readonly own: Set<OwnRequest>;
  report: LoadReport | undefined;
  reportedAtMs: number;
  othersRequests: number;
  othersUnstarted: number;
}

export function createFormerPolicy(options: EntryPolicyOptions): EntryPolicy {
  const { deployment, nowMs, random } = options;
  const engine = createEngineProfile(deployment);
  const records = new Map(
    options.endpoints.map(({ index }) => [index, createRecord()]),
  );
  const shares = {
    model: createFormerRefusedShare(nowMs),
    plain: createFormerRefusedShare(nowMs),
  };
  const distances = new Map(
    options.endpoints.map(({ index, dataCentre }) => [
      index,
      computeDistance(deployment, options.dataCentre, dataCentre),
    ]),
  );
  const nearestFirst = [...options.endpoints].sort(
    (a, b) =>
      Math.min(1, distances.get(a.index)!) -
      Math.min(1, distances.get(b.index)!),
  );

  const known = {
    model: { atMs: -Infinity, endpoints: nearestFirst },
    plain: { atMs: -Infinity, endpoints: nearestFirst },
  };

  function isReported({ reportedAtMs }: LoadRecord): boolean {
    return nowMs() - reportedAtMs < REPORT_VALID_MS;
  }

  /** The endpoints in contact, listed again at long intervals. */
  function listKnown(service: KnownEndpoint["service"]) {
    const cached = known[service];
    if (nowMs() - cached.atMs < REFRESH_INTERVAL_MS) return cached.endpoints;
    const endpoints = nearestFirst.filter(
      (endpoint) =>
        endpoint.service === service &&
        (service === "plain" ||
          isReported(records.get(endpoint.index)!) ||
          options.isReachable(endpoint.index)),
    );
    known[service] = { atMs: nowMs(), endpoints };
    return endpoints;
  }

  function isUsable(index: number, { triedEndpoints }: PendingRequest) {
    const record = records.get(index)!;
    const isAway = isReported(record) && record.report?.isOpen === false;
    return (
      !triedEndpoints.has(index) && !isAway && options.hasColdCapacity(index)
    );
  }

  function readLoad(index: number): FormerLoad {
    const record = records.get(index)!;
    const isKnown = isReported(record);
    const others = isKnown ? record.othersRequests : 0;
    const othersUnread = isKnown ? record.othersUnstarted : 0;
    const ownUnread = [...record.own].reduce(
      (sum, item) => sum + (item.hasStarted ? 0 : item.promptTokens),
      0,
    );
    return {
      requests: record.own.size + others,
      unreadTokens: ownUnread + othersUnread * engine.usualPromptTokens,
      slowdown: (isKnown ? record.report?.slowdown : undefined) ?? 1,
    };
  }

  function drawDelayMs(retryAfterMs: number): number {
    return Math.round(retryAfterMs * (1 + RETRY_JITTER_SHARE * random()));
  }

  return {
    onReport(report) {
      const record = records.get(report.endpoint)!;
      const included = [...record.own].filter(
        ({ sentAtMs }) => nowMs() - sentAtMs > REPORT_DELAY_MS,
      );
      const unstarted = included.filter(({ hasStarted }) => !hasStarted).length;
      record.report = report;
      record.reportedAtMs = nowMs();
      record.othersRequests = Math.max(
        0,
        report.running + report.waiting - included.length,
      );
      record.othersUnstarted = Math.max(0, report.waiting - unstarted);
    },
    decide(request) {
      const { route, promptTokens, deadlineMs } = request;
      const share = shares[route.service];
      const best = listKnown(route.service)
        .filter(({ index }) => isUsable(index, request))
        .map(({ index, slots }) => {
          const load = readLoad(index);
          const forecastMs =
            route.service === "plain"
              ? (load.requests / slots) * FULL_COST_MS
              : forecastFormerly(engine, load, promptTokens);
          const costMs =
            forecastMs + DISTANCE_COST_MS[distances.get(index)!] + random();
          return { index, load, forecastMs, costMs };
        })
        .reduce<
          | {
              readonly index: number;
              readonly load: FormerLoad;
              readonly forecastMs: number;
              readonly costMs: number;
            }
          | undefined
        >(
          (a, b) => (a !== undefined && a.costMs <= b.costMs ? a : b),
          undefined,
        );
      const timeLeftMs = deadlineMs - nowMs();
      const isFirst = request.triedEndpoints.size === 0;
      const isAdmitted =
        best !== undefined &&
        (route.service === "plain" ||
          isAdmittedFormerly({
            ...best,
            engine,
            promptTokens,
            timeToObjectiveMs: isFirst
              ? route.objectiveMs - (nowMs() - request.arrivedAtMs)
              : timeLeftMs,
            timeLeftMs,
          }));
      share.count(!isAdmitted);
      if (isAdmitted) return { type: "send", endpoint: best.index };
      const range = MAX_RETRY_DELAY_MS - MIN_RETRY_DELAY_MS;
      const retryAfterMs = drawDelayMs(
        MIN_RETRY_DELAY_MS + range * share.read(),
      );
      return { type: "refuse", retryAfterMs };
    },
    onSend({ promptTokens }, { endpoint }) {
      const { own } = records.get(endpoint)!;
      const request = { sentAtMs: nowMs(), promptTokens, hasStarted: false };
      own.add(request);
      return {
        onHead: () => void (request.hasStarted = true),
        onEnd: () => void own.delete(request),
        onNotRun: () => void own.delete(request),
      };
    },
    drawRetryDelayMs: () => drawDelayMs(REFUSED_BY_ENDPOINT_DELAY_MS),
  };
}

function createRecord(): LoadRecord {
  return {
    own: new Set(),
    report: undefined,
    reportedAtMs: -Infinity,
    othersRequests: 0,
    othersUnstarted: 0,
  };
}
