/**
 * Dispatches one call: chooses an endpoint, sends the request there, and
 * retries at another endpoint where that is safe. A request that may have run
 * is retried only if it may run more than once; a broken stream is resumed
 * after its last complete event, a silent one while its endpoint may go on.
 */

import type { CallService } from "../directory/mod.ts";
import { createFingerprint } from "../quarantine/mod.ts";
import { chooseEndpoint, computeRequestPriority } from "../scheduling/mod.ts";
import type { Choice, RequestOrder } from "../scheduling/mod.ts";
import type { AttemptOutcome } from "./attempt.ts";
import type { Call } from "./call.ts";
import { createCallAttempts } from "./call_attempts.ts";
import type { CallAttempts } from "./call_attempts.ts";
import { createCallState } from "./call_state.ts";
import type { FinishedAttempt, PendingCall } from "./call_state.ts";
import type { CallerResponse } from "./caller_response.ts";
import {
  endExpired,
  endWithFailure,
  endWithoutEndpoint,
  logAttempt,
  refuseCall,
} from "./end_call.ts";
import { createIncarnationKey } from "./endpoint_availability.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { handleOutcome, QUARANTINED_REASON } from "./handle_outcome.ts";
import { listEndpointViews } from "./list_endpoint_views.ts";
import { readPendingEvents } from "./read_pending_events.ts";

/**
 * A route can be published before its service. The next configuration version
 * then contains the service.
 */
const UNKNOWN_SERVICE_RETRY_MS = 1_000;

/** Enough of a fingerprint to tell the requests of some minutes apart. */
const REQUEST_KEY_LENGTH = 16;

export interface Dispatch {
  /** The caller has closed its connection. */
  cancel(): void;
  /** Responds to the caller now, as this process is about to end. */
  endForShutdown(): void;
  readonly done: Promise<void>;
}

export function dispatchCall(
  context: GatewayContext,
  call: Call,
  response: CallerResponse,
): Dispatch {
  let attempts: CallAttempts | undefined;
  let endCause: "cancelled" | "expired" | "shutdown" | undefined;

  function endEarly(cause: "cancelled" | "expired") {
    endCause ??= cause;
    attempts?.abort();
  }

  function endForShutdown() {
    endCause ??= "shutdown";
    // Unlike an abort, this tells whether the request has been sent.
    attempts?.fail("shutdown");
  }

  const timer = setTimeout(
    () => endEarly("expired"),
    Math.max(0, call.deadlineMs - context.nowMs()),
  );

  const fingerprint = createFingerprint({
    clientAccount: call.account?.name ?? "",
    method: call.method,
    path: call.path,
    body: call.body,
  });

  const promptParts = call.headers.sharedPromptParts ?? [];

  async function run() {
    const state = createCallState(call);
    // The call may have waited behind another one on its connection.
    if (call.deadlineMs <= context.nowMs()) {
      const outcome = { type: "not_sent", reason: "deadline" } as const;
      return endExpired(context, { call, response, state, outcome });
    }
    const service = findService(context, call.service);
    if (service === undefined) {
      return refuseCall(context, {
        call,
        response,
        reason: "unknown_service",
        retryAfterMs: UNKNOWN_SERVICE_RETRY_MS,
      });
    }
    const quarantinedMs =
      context.quarantine.remainingMs(fingerprint) ||
      (context.promptPartQuarantine.checkRequest(promptParts)?.remainingMs ??
        0);
    if (quarantinedMs > 0) {
      return refuseCall(context, {
        call,
        response,
        reason: QUARANTINED_REASON,
        retryAfterMs: quarantinedMs,
      });
    }
    context.getRetryBudget(service.name).recordRequest();
    const started = createCallAttempts(context, {
      ...{ call, service, state, response },
      chooseEndpoint: (next) => choose(context, { call, service, state: next }),
    });
    attempts = started;
    await runAttempts(started, { call, service, state }).finally(started.close);
  }

  /** Until the caller has a response, or has left. */
  async function runAttempts(started: CallAttempts, pendingCall: PendingCall) {
    const { service, state } = pendingCall;
    const refusalTracker = context.getRefusalTracker(service.name);
    for (;;) {
      if (started.countRunning() === 0) {
        const choice = choose(context, pendingCall);
        if (choice.type === "none") {
          refusalTracker.countRefused();
          return endWithoutEndpoint(context, { call, response, state, choice });
        }
        refusalTracker.countAdmitted();
        started.start(choice);
      }
      const ended = await started.waitForEnd();
      const { outcome } = ended;
      logAttempt(context, ended);
      if (isLikelyCrash(outcome)) recordCrash(ended);
      if (isSuccess(outcome)) context.quarantine.recordSurvival(fingerprint);
      if (endCause === "cancelled") return;
      if (endCause === "expired") {
        state.runs += started.countRunning();
        return endExpired(context, { call, response, state, outcome });
      }
      const shutdown = { call, state, response, reason: "shutdown" };
      if (endCause === "shutdown" && outcome.type !== "answered") {
        state.runs += started.countRunning();
        if (outcome.type === "lost") state.runs += 1;
        return endWithFailure(context, shutdown);
      }
      const next = handleOutcome(context, {
        ...ended,
        hasOthers: started.countRunning() > 0,
        onRejected: started.onRejected,
      });
      if (next === "end") return;
      if (next === "wait") continue;
      await readPendingEvents();
      if (!response.isOpen()) return;
      if (endCause === "shutdown") return endWithFailure(context, shutdown);
      if (call.deadlineMs <= context.nowMs()) {
        return endExpired(context, { call, response, state, outcome });
      }
    }
  }

  function recordCrash({ choice, state }: FinishedAttempt) {
    const { endpoint } = choice.view;
    const { id, startedAtMs } = endpoint;
    context.sendCrashNotice(
      context.quarantine.recordLikelyCrash(
        fingerprint,
        // An endpoint that starts again at its address can crash again.
        createIncarnationKey(endpoint),
      ),
    );
    state.isQuarantined = context.quarantine.hasRepeated(fingerprint);
    context.promptPartQuarantine.recordCrash({
      endpoint: `${id} ${startedAtMs ?? ""}`,
      request: fingerprint.slice(0, REQUEST_KEY_LENGTH),
      parts: promptParts,
    });
  }

  const done = run().finally(() => clearTimeout(timer));
  return { cancel: () => endEarly("cancelled"), endForShutdown, done };
}

const MIN_FAILURE_STATUS = 400;

function isLikelyCrash(outcome: AttemptOutcome): boolean {
  return outcome.type === "lost" && outcome.mayHaveCrashed === true;
}

function isSuccess(outcome: AttemptOutcome): boolean {
  return outcome.type === "answered" && outcome.status < MIN_FAILURE_STATUS;
}

function findService(
  context: GatewayContext,
  name: string,
): CallService | undefined {
  return context.directory
    .config()
    ?.services.find((service) => service.name === name);
}

function choose(context: GatewayContext, pendingCall: PendingCall): Choice {
  const { call, service, state } = pendingCall;
  const { triedEndpoints, weightVersion } = state;
  const now = context.nowMs();
  const isUnsent = state.runs + state.notRunAttempts === 0;
  const timeLeftMs = call.deadlineMs - now;
  const timeToObjectiveMs = isUnsent
    ? call.route.objectiveMs - (now - call.receivedAtMs)
    : timeLeftMs;
  const order = findOrder(context, call);
  const choice = chooseEndpoint(
    listEndpointViews(context, {
      call,
      service,
      triedEndpoints,
      weightVersion,
      shareAhead: order?.shareAhead,
    }),
    {
      service,
      promptTokens: call.headers.promptTokens ?? 0,
      timeToObjectiveMs,
      timeLeftMs,
      order,
      random: context.random,
    },
  );
  if (choice.withheld !== undefined) {
    context.requestPermits.want(choice.withheld.endpoint);
  }
  return choice;
}

function findOrder(
  { getQueueMix }: GatewayContext,
  { urgency, service }: Call,
): RequestOrder | undefined {
  const priority = computeRequestPriority(urgency, false);
  if (priority === undefined) return undefined;
  return {
    priority,
    shareAhead: getQueueMix(service).readShareAhead(priority),
  };
}
