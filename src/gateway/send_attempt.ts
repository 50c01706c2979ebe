/** Sends a call to the chosen endpoint, with timeouts that suit the call. */

import { startAttempt } from "./attempt.ts";
import type { Attempt, AttemptOutcome } from "./attempt.ts";
import type { Call } from "./call.ts";
import { isRepeatable } from "./call_state.ts";
import type { Sending, Step } from "./call_state.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import type { EndpointView } from "./choose_endpoint.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { computeBeginPatienceMs } from "./weight_versions.ts";

/** An endpoint that takes longer to the first event has stalled. */
const FIRST_EVENT_TIMEOUT_MS = 1_200;
/** Pauses of a healthy engine stay well below this. */
const EVENT_GAP_TIMEOUT_MS = 1_000;
/** A plain request is retried after this many times its latency objective. */
const PLAIN_TIMEOUT_OBJECTIVES = 3;

export function sendAttempt(
  context: GatewayContext,
  options: Step & {
    readonly answer: CallerAnswer;
    readonly choice: Sending;
  },
): Attempt {
  const { call, state, answer, choice } = options;
  const { endpoint, weightVersion } = choice.view;
  const { route, headers } = call;
  const remainingMs = call.deadlineMs - context.nowMs();
  const isStream = route.kind === "stream";
  const canRepeat = isRepeatable(call) && state.runs + 1 < route.maxAttempts;
  const patience = canRepeat
    ? isStream
      ? { firstMs: FIRST_EVENT_TIMEOUT_MS, gapMs: EVENT_GAP_TIMEOUT_MS }
      : repeatPlainAfter(route.objectiveMs)
    : { firstMs: remainingMs + 1_000, gapMs: remainingMs + 1_000 };
  const load = context.loads.begin(endpoint.address, headers.promptTokens ?? 0);
  const sentAtMs = context.nowMs();
  state.headMs = undefined;
  context.rates.count(endpoint.id);
  const attempt = startAttempt({
    connections: context.connections,
    codec: context.codec,
    address: endpoint.address,
    attemptId: headers.attemptId,
    method: call.method,
    path: call.path,
    headers: context.codec.writeForward(call.rawHeaders, {
      remainingMs,
      endpointId: endpoint.id,
      account: call.account?.name,
      weightVersion,
      lastEventId: state.lastEventId,
    }),
    body: call.body,
    isFresh: route.kind === "non_idempotent",
    firstByteTimeoutMs: Math.min(
      patience.firstMs,
      computeVersionPatienceMs(context, call, choice.view),
    ),
    silenceTimeoutMs: patience.gapMs,
    isStream,
    onHead() {
      load.onStart();
      state.headMs = Math.round(context.nowMs() - sentAtMs);
    },
    onEvents(events, head) {
      state.lastEventId = events.lastId ?? state.lastEventId;
      state.weightVersion ??= weightVersion;
      answer.sendEvents(head.status, head.headers, events.bytes);
    },
  });
  context.traffic.bytesSent.increment(
    { purpose: "call", to: endpoint.dataCentre },
    call.body.length,
  );
  void attempt.outcome.then(() => {
    load.end();
    context.traffic.bytesReceived.increment(
      { purpose: "answer", from: endpoint.dataCentre },
      attempt.receivedBytes(),
    );
  });
  return attempt;
}

/** Limits the wait so that no request starts on an expired weight version. */
function computeVersionPatienceMs(
  { directory, bounds, clock }: GatewayContext,
  { headers }: Call,
  { weightVersion, load }: EndpointView,
): number {
  if (weightVersion === undefined || headers.model === undefined) {
    return Infinity;
  }
  return computeBeginPatienceMs(
    weightVersion,
    directory.wantedWeights(headers.model),
    {
      replaceWithinMs: bounds.versionMs,
      nowMs: clock.nowMs(),
      roundTripMs: load.roundTripMs,
    },
  );
}

function repeatPlainAfter(objectiveMs: number) {
  const ms = objectiveMs * PLAIN_TIMEOUT_OBJECTIVES;
  return { firstMs: ms, gapMs: ms };
}

/** Registers the attempt while in flight, so that a lost endpoint ends it. */
export async function trackAttempt(
  context: GatewayContext,
  attempt: Attempt,
  { endpoint }: EndpointView,
): Promise<AttemptOutcome> {
  const { attempts } = context;
  const under = attempts.get(endpoint.address) ?? new Set();
  attempts.set(endpoint.address, under);
  under.add(attempt);
  const outcome = await attempt.outcome;
  under.delete(attempt);
  if (under.size === 0) attempts.delete(endpoint.address);
  return outcome;
}
