/**
 * Sends a call to the chosen endpoint. A silence that is longer than suits the
 * call is reported, and the attempt goes on: an endpoint can be silent for a
 * second and answer nevertheless.
 */

import type { EndpointView } from "../scheduling/mod.ts";
import { ABORT_DELAY_MS, isLikelyQueued } from "../scheduling/mod.ts";
import { startAttempt } from "./attempt.ts";
import type { Attempt, AttemptOptions, ResponseEnd } from "./attempt.ts";
import type { Call, ResponseHeaders } from "./call.ts";
import { isRetryable, PAUSED_REASON } from "./call_state.ts";
import type { ChosenEndpoint, PendingCall } from "./call_state.ts";
import type { CallerResponse } from "./caller_response.ts";
import { isFrom } from "./endpoint_availability.ts";
import { findSendObstacle, findTimeToBoundMs } from "./find_send_obstacle.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { readColdLimit } from "./list_endpoint_views.ts";
import { VERSION_EXPIRED_REASON } from "./version_deadlines.ts";

/** An endpoint that takes longer to send the first event may have stalled. */
const FIRST_EVENT_SILENCE_MS = 1_200;
/** Most pauses of a healthy engine stay well below this. */
const EVENT_GAP_SILENCE_MS = 1_000;
/**
 * A request that crashes its endpoint does so with its first tokens. One that
 * streams this long, over this many reads, has survived.
 */
const SURVIVAL_MS = 500;
const SURVIVAL_READS = 4;
/** A plain request is retried after this many times its latency objective. */
const PLAIN_SILENCE_FACTOR = 3;
/** Beyond the deadline, at which the call ends. */
const AFTER_DEADLINE_MS = 1_000;

interface ResponseHead {
  readonly status: number;
  readonly headers: ResponseHeaders;
  readonly sentAtMs: number;
}

export interface SentAttempt extends Attempt {
  /** From sending the attempt to its response head. */
  headMs(): number | undefined;
  /** True once the attempt has shown that the request crashes nothing. */
  hasSurvived(): boolean;
}

export interface SendOptions extends PendingCall {
  readonly response: CallerResponse;
  readonly choice: ChosenEndpoint;
  /** Attempts of the call that are in progress at other endpoints. */
  readonly otherAttempts: number;
  /** Called again and again while the endpoint is silent. */
  readonly onSilence: () => void;
  /** Called before events are sent to the caller. */
  readonly onEvents: () => void;
}

export function sendAttempt(
  context: GatewayContext,
  options: SendOptions,
): SentAttempt {
  const { call, service, state, response, choice } = options;
  const { endpoint, weightVersion } = choice.view;
  const { route, headers } = call;
  const remainingMs = call.deadlineMs - context.nowMs();
  const isStream = route.kind === "stream";
  const runs = state.runs + options.otherAttempts + 1;
  const canRetry = isRetryable(call) && runs < route.maxAttempts;
  const unlimitedMs = remainingMs + AFTER_DEADLINE_MS;
  let isSilent = false;
  let hasSurvived = false;
  let headMs: number | undefined;
  const trackedRequest = context.loads.trackRequest(endpoint.address, {
    promptTokens: headers.promptTokens ?? 0,
    urgency: call.urgency.rank,
  });
  const stopWaiting =
    choice.priority === undefined
      ? undefined
      : context.getQueueMix(service.name).track(choice.priority);
  const { sentEventIds } = state;
  // Events of two runs are joined only if the second run goes on where the
  // first one broke off.
  let isUnchecked = response.hasStarted();
  const sentAtMs = context.nowMs();
  let headAtMs = Infinity;
  let reads = 0;

  function recordSurvival() {
    if (hasSurvived) return;
    hasSurvived = true;
    context.promptPartQuarantine.recordSurvival(
      headers.sharedPromptParts ?? [],
    );
  }

  /** A busy endpoint is not silent towards a request in its queue. */
  function isQueued(): boolean {
    if (headMs !== undefined || service.engine === undefined) return false;
    return isLikelyQueued({
      load: context.loads.read(endpoint.address, {
        usualPromptTokens: service.engine.usualPromptTokens,
        urgency: call.urgency.rank,
      }),
      waitedMs: context.nowMs() - sentAtMs,
      forecastMs: choice.forecastMs,
    });
  }

  /**
   * An endpoint that leaves may have exited right after its last response, and
   * one that crashes closes its connections in the same way. Another endpoint
   * that has nothing to add after the same event tells them apart. A clean close
   * right after the head of a stream proves nothing else.
   */
  async function confirmEnd({
    isEventStream,
    isEmpty,
  }: ResponseEnd): Promise<boolean> {
    if (isEventStream) {
      const lastEventId = sentEventIds.lastId();
      const isEndOfEarlierRun =
        lastEventId !== undefined && state.possibleEndId === lastEventId;
      state.possibleEndId = lastEventId;
      if (isEmpty && !isEndOfEarlierRun) return false;
    }
    return context.endpointCheck.confirmEnd(endpoint, {
      hasEngine: service.engine !== undefined,
      healthPath: service.healthPath,
      callId: call.id,
    });
  }

  context.rateLimits.count(endpoint, readColdLimit(context, service));
  const permit = context.requestPermits.take(endpoint);
  context.availability.onSend(endpoint);
  context.health.onSend(endpoint.id);
  const isFirst = state.triedEndpoints.size + options.otherAttempts === 0;
  if (isFirst) logFirstSend(context, options);
  const attempt = startAttempt({
    connections: context.connections,
    codec: context.codec,
    address: endpoint.address,
    attemptId: headers.attemptId,
    method: call.method,
    path: call.path,
    headers: context.codec.writeForwardHeaders(call.rawHeaders, {
      remainingMs,
      endpointId: endpoint.id,
      account: call.account?.name,
      weightVersion,
      lastEventId: state.sentEventIds.lastId(),
      priority: choice.priority,
    }),
    body: call.body,
    // Only the id tells a late response to an earlier request on the connection
    // from the response to this one.
    needsNewConnection:
      route.kind === "non_idempotent" || headers.attemptId === undefined,
    firstByteTimeoutMs: unlimitedMs,
    silence: canRetry
      ? findSilenceLimits(call)
      : { beforeFirstByteMs: unlimitedMs, betweenBytesMs: unlimitedMs },
    isStream,
    buffers: context.responseBuffers,
    isCongested: response.isCongested,
    onDrained: response.onDrained,
    confirmEnd,
    mayHaveCrashed: async () =>
      !hasSurvived &&
      context.endpointCheck.mayHaveCrashed(endpoint, {
        hasEngine: service.engine !== undefined,
        callId: call.id,
      }),
    findSendObstacle: () => findSendObstacle(context, choice, permit),
    onSilence() {
      if (!canRetry || isQueued()) return;
      if (!isSilent) noteSilence(context, options);
      isSilent = true;
      options.onSilence();
    },
    onStart: () => versionDeadline.close(),
    onHead(status, responseHeaders) {
      isSilent = false;
      context.availability.onResponse(endpoint, status, responseHeaders);
      noteRequestLimit(context, endpoint, {
        status,
        headers: responseHeaders,
        sentAtMs,
      });
      withdrawUnsentIfPaused(context, endpoint);
      context.health.onResponse(endpoint.id);
      trackedRequest.markStarted();
      stopWaiting?.();
      noteLoad(context, endpoint, {
        status,
        headers: responseHeaders,
        sentAtMs,
      });
      headAtMs = context.nowMs();
      headMs = Math.round(context.nowMs() - sentAtMs);
    },
    onEvents(events, head) {
      if (isUnchecked && !sentEventIds.isContinuedBy(events.ids[0])) {
        return false;
      }
      isUnchecked = false;
      isSilent = false;
      options.onEvents();
      response.sendEvents(head.status, head.headers, events.bytes);
      sentEventIds.append(events.ids);
      state.weightVersion ??= weightVersion;
      reads += 1;
      const hasLasted = context.nowMs() - headAtMs >= SURVIVAL_MS;
      if (hasLasted && reads >= SURVIVAL_READS) recordSurvival();
      return true;
    },
  });
  const versionDeadline = context.versionDeadlines.track(
    () => readTimeLeftToStartMs(context, choice.view),
    () => attempt.fail(VERSION_EXPIRED_REASON),
  );
  context.traffic.bytesSent.increment(
    { purpose: "call", to: endpoint.dataCentre },
    call.body.length,
  );
  void attempt.outcome.then((outcome) => {
    versionDeadline.close();
    trackedRequest.end();
    stopWaiting?.();
    if (outcome.type === "not_sent") permit.release();
    const isSuccess = outcome.type === "answered" && outcome.status < 400;
    if (isSuccess) recordSurvival();
    context.traffic.bytesReceived.increment(
      { purpose: "answer", from: endpoint.dataCentre },
      attempt.receivedBytes(),
    );
  });
  return {
    ...attempt,
    headMs: () => headMs,
    hasSurvived: () => hasSurvived,
  };
}

function noteRequestLimit(
  context: GatewayContext,
  endpoint: EndpointView["endpoint"],
  { status, headers, sentAtMs }: ResponseHead,
) {
  const { requestLimitPerS: ratePerS } = headers;
  if (!isFrom(endpoint, status, headers)) return;
  if (ratePerS === undefined) {
    return context.registry
      .counter(
        "unreadable_request_limits_total",
        "Responses that name a request limit which is no rate",
      )
      .increment();
  }
  const heardAtMs = context.nowMs();
  context.noteRequestLimit(endpoint, { ratePerS, sentAtMs, heardAtMs });
}

function noteLoad(
  context: GatewayContext,
  endpoint: EndpointView["endpoint"],
  { status, headers, sentAtMs }: ResponseHead,
) {
  const { id, address } = endpoint;
  if (headers.isLoadInvalid === true) {
    context.invalidValues.note("load_header", { endpoint: id, address });
  }
  if (headers.load === undefined || !isFrom(endpoint, status, headers)) return;
  context.loads.onResponse(address, headers.load, sentAtMs);
}

/** Connecting takes up to half a second, in which an endpoint may be paused. */
function withdrawUnsentIfPaused(
  { availability, attemptsByAddress }: GatewayContext,
  endpoint: EndpointView["endpoint"],
) {
  if (availability.pausedMs(endpoint) === 0) return;
  const attempts = attemptsByAddress.get(endpoint.address) ?? [];
  [...attempts].forEach((attempt) => attempt.withdraw(PAUSED_REASON));
}

/** Leaves a trace of a call whose entry is killed before it ends. */
function logFirstSend(
  { logger }: GatewayContext,
  { call, choice }: { readonly call: Call; readonly choice: ChosenEndpoint },
) {
  const { id, address } = choice.view.endpoint;
  logger.info({ id: call.id, endpoint: id, address }, "attempt sent");
}

/** Time after which a request that has not started must be ended. */
function readTimeLeftToStartMs(
  context: GatewayContext,
  view: EndpointView,
): number {
  return findTimeToBoundMs(context, view) - ABORT_DELAY_MS;
}

function findSilenceLimits({ route }: Call): AttemptOptions["silence"] {
  if (route.kind === "stream") {
    return {
      beforeFirstByteMs: FIRST_EVENT_SILENCE_MS,
      betweenBytesMs: EVENT_GAP_SILENCE_MS,
    };
  }
  const silenceMs = route.objectiveMs * PLAIN_SILENCE_FACTOR;
  return { beforeFirstByteMs: silenceMs, betweenBytesMs: silenceMs };
}

/** Directs new calls elsewhere while an endpoint is silent. */
function noteSilence(
  { health, logger }: GatewayContext,
  { call, choice }: { readonly call: Call; readonly choice: ChosenEndpoint },
) {
  const { id, address } = choice.view.endpoint;
  health.onUnreachable(id);
  logger.info({ id: call.id, endpoint: id, address }, "endpoint is silent");
}
