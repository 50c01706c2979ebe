/** Handles the outcome of an attempt. */

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
/** Reasons for which this entry ends an attempt though the endpoint is sound. */
const OWN_REASONS: ReadonlySet<string> = new Set([
  QUARANTINED_REASON,
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

/** Responds to the caller, or returns "retry" for another attempt. */
export function handleOutcome(
  context: GatewayContext,
  options: FinishedAttempt,
): "end" | "retry" {
  const { call, state, response, outcome, choice } = options;
  const { id } = choice.view.endpoint;
  state.triedEndpoints.add(id);
  switch (outcome.type) {
    case "not_sent":
      if (!OWN_REASONS.has(outcome.reason)) context.health.onUnreachable(id);
      state.unsentAttempts += 1;
      if (
        state.unsentAttempts <= MAX_UNSENT_ATTEMPTS &&
        !isSuspected(context, call)
      ) {
        return "retry";
      }
      break;
    case "not_run":
      state.notRunAttempts += 1;
      if (
        state.notRunAttempts <= MAX_NOT_RUN_ATTEMPTS &&
        !isSuspected(context, call) &&
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
      if (state.reservedRetry !== undefined) return "retry";
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
  options: FinishedAttempt & {
    readonly outcome: Extract<AttemptOutcome, { type: "answered" }>;
  },
): "end" | "retry" {
  const { call, state, response, outcome, choice } = options;
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
): boolean {
  if (!isRetryable(call) || state.runs >= call.route.maxAttempts) return false;
  if (isSuspected(context, call)) return false;
  if (!response.isOpen()) return false;
  const canContinue = state.sentEventIds.lastId() !== undefined;
  if (response.hasStarted() && !canContinue) return false;
  const remainingMs = call.deadlineMs - context.nowMs();
  return remainingMs > MIN_REMAINING_MS && takeRetry(context, call);
}

/** True if the request may crash the next endpoint as well. */
function isSuspected(
  { promptPartQuarantine }: GatewayContext,
  call: Call,
): boolean {
  return promptPartQuarantine.isSuspected(call.headers.sharedPromptParts ?? []);
}

function takeRetry(context: GatewayContext, call: Call): boolean {
  return context.getRetryBudget(call.service).takeRetry();
}
