/** Handles the outcome of an attempt. */

import type { RetryCause } from "../limits/mod.ts";
import type { AttemptOutcome } from "./attempt.ts";
import type { Call } from "./call.ts";
import { isRetryable, PAUSED_REASON } from "./call_state.ts";
import type { ActiveCall, FinishedAttempt } from "./call_state.ts";
import { endWithFailure, logCallEnd } from "./end_call.ts";
import { readPauseMs } from "./endpoint_availability.ts";
import { WITHDRAWN_REASON } from "./find_send_obstacle.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { REQUEST_LIMIT_REASON } from "./request_permits.ts";
import { replaceRetryAfter } from "./return_delay.ts";
import { VERSION_EXPIRED_REASON } from "./version_deadlines.ts";

/** When a data centre is lost, several connections in a row may fail. */
const MAX_UNSENT_ATTEMPTS = 3;
/** A full endpoint refuses at once, and others may have free capacity. */
const MAX_NOT_RUN_ATTEMPTS = 2;
/** With less time left than this an endpoint cannot complete a request. */
const MIN_REMAINING_MS = 20;
const MIN_SERVER_ERROR_STATUS = 500;
/** This entry has ended the attempt, because it could crash the endpoint. */
export const QUARANTINED_REASON = "crashes_endpoints";
/** Another endpoint has taken the call, or has events for the caller. */
export const SUPERSEDED_REASON = "superseded";
const STATUS_MISDIRECTED = 421;
/** Reasons for which this entry ends an attempt though the endpoint is sound. */
const OWN_REASONS: ReadonlySet<string> = new Set([
  QUARANTINED_REASON,
  SUPERSEDED_REASON,
  VERSION_EXPIRED_REASON,
  PAUSED_REASON,
  WITHDRAWN_REASON,
  REQUEST_LIMIT_REASON,
]);
/**
 * Reasons that suggest that the endpoint is gone. Other reasons can concern a
 * single response only.
 */
const UNREACHABLE_REASONS: ReadonlySet<string> = new Set([
  "no_answer",
  "silent",
  "endpoint_down",
]);

export interface HandledAttempt extends FinishedAttempt {
  /** True if other attempts of the call are in progress. */
  readonly hasOthers: boolean;
  /** Called with the id of an endpoint that may be asked again. */
  readonly onRejected: (endpointId: string) => void;
}

/**
 * Responds to the caller, or returns "wait" if other attempts are in progress
 * and "retry" for another attempt.
 */
export function handleOutcome(
  context: GatewayContext,
  options: HandledAttempt,
): "end" | "retry" | "wait" {
  const { call, state, response, outcome, choice, hasOthers } = options;
  const { id } = choice.view.endpoint;
  const isFull =
    outcome.type === "not_run" && outcome.status !== STATUS_MISDIRECTED;
  if (hasOthers && isFull) {
    options.onRejected(id);
    return "wait";
  }
  state.triedEndpoints.add(id);
  switch (outcome.type) {
    case "not_sent":
      if (!OWN_REASONS.has(outcome.reason)) context.health.onUnreachable(id);
      if (hasOthers) return "wait";
      state.unsentAttempts += 1;
      if (
        state.unsentAttempts <= MAX_UNSENT_ATTEMPTS &&
        !isSuspected(context, options)
      ) {
        return "retry";
      }
      break;
    case "not_run":
      if (hasOthers) return "wait";
      state.notRunAttempts += 1;
      if (
        state.notRunAttempts <= MAX_NOT_RUN_ATTEMPTS &&
        !isSuspected(context, options) &&
        takeRetry(context, call)
      ) {
        return "retry";
      }
      break;
    case "lost":
      if (UNREACHABLE_REASONS.has(outcome.reason)) {
        context.health.onUnreachable(id);
      } else if (!OWN_REASONS.has(outcome.reason)) {
        context.health.onFailure(id);
      }
      state.runs += 1;
      if (hasOthers) return "wait";
      if (mayRetry(context, options)) return "retry";
      break;
    case "answered":
      state.runs += 1;
      return handleResponse(context, { ...options, outcome });
    case "aborted":
      break;
  }
  endWithFailure(context, { call, state, response, reason: outcome.type });
  return "end";
}

function handleResponse(
  context: GatewayContext,
  options: HandledAttempt & {
    readonly outcome: Extract<AttemptOutcome, { type: "answered" }>;
  },
): "end" | "retry" | "wait" {
  const { call, state, response, outcome, choice, hasOthers } = options;
  const { status, headers, body } = outcome;
  const { id } = choice.view.endpoint;
  if (status < MIN_SERVER_ERROR_STATUS) context.health.onSuccess(id);
  else if (!asksForPause(context, outcome)) context.health.onFailure(id);
  if (body === undefined) {
    response.endStream(status, headers);
    logCallEnd(context, call, { outcome: "answered", status });
    return "end";
  }
  if (status >= MIN_SERVER_ERROR_STATUS) state.failedResponse = outcome;
  // A stream that has begun can only be continued by one.
  const isFailure = status >= MIN_SERVER_ERROR_STATUS || response.hasStarted();
  if (isFailure && hasOthers) return "wait";
  if (isFailure && mayRetry(context, options)) return "retry";
  if (response.hasStarted()) {
    const reason = "not_continued";
    endWithFailure(context, { call, state, response, reason });
    return "end";
  }
  const sentHeaders = replaceRetryAfter(context, call, outcome);
  response.sendComplete(status, sentHeaders, body);
  logCallEnd(context, call, { outcome: "answered", status });
  return "end";
}

/** A full endpoint is not a faulty one. */
function asksForPause(
  { codec }: GatewayContext,
  { status, headers }: Extract<AttemptOutcome, { type: "answered" }>,
): boolean {
  return readPauseMs(status, codec.readResponseHeaders(headers)) > 0;
}

/** Takes the retry from the budget if it returns true. */
export function mayRetry(
  context: GatewayContext,
  { call, state, response }: ActiveCall,
  cause?: RetryCause,
): boolean {
  if (!isRetryable(call) || state.runs >= call.route.maxAttempts) return false;
  if (isSuspected(context, { call, state })) return false;
  if (!response.isOpen()) return false;
  const canContinue = state.sentEventIds.lastId() !== undefined;
  if (response.hasStarted() && !canContinue) return false;
  const remainingMs = call.deadlineMs - context.nowMs();
  return remainingMs > MIN_REMAINING_MS && takeRetry(context, call, cause);
}

/** True if the request may crash the next endpoint as well. */
function isSuspected(
  { promptPartQuarantine }: GatewayContext,
  { call, state }: Pick<ActiveCall, "call" | "state">,
): boolean {
  const parts = call.headers.sharedPromptParts ?? [];
  return state.isQuarantined || promptPartQuarantine.isSuspected(parts);
}

function takeRetry(
  context: GatewayContext,
  call: Call,
  cause?: RetryCause,
): boolean {
  return context.getRetryBudget(call.service).takeRetry(cause);
}
