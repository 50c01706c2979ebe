/** Sends a call to the chosen endpoint, with timeouts that suit the call. */

import { startAttempt } from "./attempt.ts";
import type { Attempt, AttemptOutcome } from "./attempt.ts";
import type { Call } from "./call.ts";
import { isRetryable } from "./call_state.ts";
import type { ChosenEndpoint, PendingCall } from "./call_state.ts";
import type { CallerResponse } from "./caller_response.ts";
import type { EndpointView } from "./choose_endpoint.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { readColdLimit } from "./list_endpoint_views.ts";
import { computeStartTimeoutMs } from "./weight_versions.ts";

/** An endpoint that takes longer to send the first event has stalled. */
const FIRST_EVENT_TIMEOUT_MS = 1_200;
/** Pauses of a healthy engine stay well below this. */
const EVENT_GAP_TIMEOUT_MS = 1_000;
/** A plain request is retried after this many times its latency objective. */
const PLAIN_TIMEOUT_FACTOR = 3;

export function sendAttempt(
  context: GatewayContext,
  options: PendingCall & {
    readonly response: CallerResponse;
    readonly choice: ChosenEndpoint;
  },
): Attempt {
  const { call, service, state, response, choice } = options;
  const { endpoint, weightVersion } = choice.view;
  const { route, headers } = call;
  const remainingMs = call.deadlineMs - context.nowMs();
  const isStream = route.kind === "stream";
  const canRetry = isRetryable(call) && state.runs + 1 < route.maxAttempts;
  const timeouts = canRetry
    ? isStream
      ? {
          firstByteMs: FIRST_EVENT_TIMEOUT_MS,
          inactivityMs: EVENT_GAP_TIMEOUT_MS,
        }
      : createPlainTimeouts(route.objectiveMs)
    : { firstByteMs: remainingMs + 1_000, inactivityMs: remainingMs + 1_000 };
  const trackedRequest = context.loads.trackRequest(
    endpoint.address,
    headers.promptTokens ?? 0,
  );
  const { sentEventIds } = state;
  // Events of two runs are joined only if the second run goes on where the
  // first one broke off.
  let isUnchecked = response.hasStarted();
  const sentAtMs = context.nowMs();
  state.headMs = undefined;
  context.rateLimits.count(endpoint, readColdLimit(context, service));
  if (state.triedEndpoints.size === 0) logFirstSend(context, options);
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
    }),
    body: call.body,
    // Only the id tells a late response to an earlier request on the connection
    // from the response to this one.
    needsNewConnection:
      route.kind === "non_idempotent" || headers.attemptId === undefined,
    firstByteTimeoutMs: Math.min(
      timeouts.firstByteMs,
      computeVersionTimeoutMs(context, call, choice.view),
    ),
    inactivityTimeoutMs: timeouts.inactivityMs,
    isStream,
    onHead() {
      trackedRequest.markStarted();
      state.headMs = Math.round(context.nowMs() - sentAtMs);
    },
    onEvents(events, head) {
      if (isUnchecked && !sentEventIds.isContinuedBy(events.ids[0])) {
        return false;
      }
      isUnchecked = false;
      sentEventIds.append(events.ids);
      state.weightVersion ??= weightVersion;
      response.sendEvents(head.status, head.headers, events.bytes);
      return true;
    },
  });
  context.traffic.bytesSent.increment(
    { purpose: "call", to: endpoint.dataCentre },
    call.body.length,
  );
  void attempt.outcome.then(() => {
    trackedRequest.end();
    context.traffic.bytesReceived.increment(
      { purpose: "answer", from: endpoint.dataCentre },
      attempt.receivedBytes(),
    );
  });
  return attempt;
}

/** Leaves a trace of a call whose entry is killed before it ends. */
function logFirstSend(
  { logger }: GatewayContext,
  { call, choice }: { readonly call: Call; readonly choice: ChosenEndpoint },
) {
  const { id, address } = choice.view.endpoint;
  logger.info({ id: call.id, endpoint: id, address }, "attempt sent");
}

/** Limits the wait so that no request starts on an expired weight version. */
function computeVersionTimeoutMs(
  { directory, bounds, clock }: GatewayContext,
  { headers }: Call,
  { weightVersion, load }: EndpointView,
): number {
  if (weightVersion === undefined || headers.model === undefined) {
    return Infinity;
  }
  return computeStartTimeoutMs(
    weightVersion,
    directory.wantedWeights(headers.model),
    {
      oldVersionGraceMs: bounds.versionMs,
      nowMs: clock.nowMs(),
      roundTripMs: load.roundTripMs,
    },
  );
}

function createPlainTimeouts(objectiveMs: number) {
  const timeoutMs = objectiveMs * PLAIN_TIMEOUT_FACTOR;
  return { firstByteMs: timeoutMs, inactivityMs: timeoutMs };
}

/** Registers the attempt while in flight, so that a lost endpoint ends it. */
export async function trackAttempt(
  context: GatewayContext,
  attempt: Attempt,
  { endpoint }: EndpointView,
): Promise<AttemptOutcome> {
  const { attemptsByAddress } = context;
  const inFlight = attemptsByAddress.get(endpoint.address) ?? new Set();
  attemptsByAddress.set(endpoint.address, inFlight);
  inFlight.add(attempt);
  const outcome = await attempt.outcome;
  inFlight.delete(attempt);
  if (inFlight.size === 0) attemptsByAddress.delete(endpoint.address);
  return outcome;
}
