/** Handles the outcome of an attempt. */

import type { AttemptOutcome } from "./attempt.ts";
import type { Call } from "./call.ts";
import { isRepeatable } from "./call_state.ts";
import type { Settling } from "./call_state.ts";
import { endFailed, logEnd } from "./end_call.ts";
import type { GatewayContext } from "./gateway_context.ts";

/** Connections fail to several endpoints in a row if a data centre is lost. */
const MAX_UNSENT = 3;
/** A full endpoint refuses at once, and others may have free capacity. */
const MAX_NOT_RUN = 2;
/** With less time left than this an endpoint cannot complete a request. */
const MIN_REMAINING_MS = 20;
const SERVER_ERROR = 500;
/**
 * Reasons that suggest that the endpoint is gone. Other reasons can concern a
 * single response only.
 */
const SILENT_REASONS: ReadonlySet<string> = new Set([
  "no_answer",
  "silent",
  "endpoint_down",
]);

/** Responds to the caller, or returns "retry" for another attempt. */
export function settleOutcome(
  context: GatewayContext,
  options: Settling,
): "end" | "again" {
  const { call, state, answer, outcome, choice } = options;
  const { id } = choice.view.endpoint;
  state.tried.add(id);
  switch (outcome.type) {
    case "not_sent":
      context.suspicion.onUnreachable(id);
      state.unsent += 1;
      if (state.unsent <= MAX_UNSENT) return "again";
      break;
    case "not_run":
      state.notRun += 1;
      if (state.notRun <= MAX_NOT_RUN && takeRetry(context, call)) {
        return "again";
      }
      break;
    case "lost":
      if (SILENT_REASONS.has(outcome.reason)) {
        context.suspicion.onUnreachable(id);
      } else context.suspicion.onFailure(id);
      state.runs += 1;
      if (mayRepeat(context, options)) return "again";
      break;
    case "answered":
      state.runs += 1;
      return settleAnswer(context, { ...options, outcome });
    case "aborted":
      break;
  }
  endFailed(context, { call, state, answer, reason: outcome.type });
  return "end";
}

function settleAnswer(
  context: GatewayContext,
  options: Settling & {
    readonly outcome: Extract<AttemptOutcome, { type: "answered" }>;
  },
): "end" | "again" {
  const { call, state, answer, outcome, choice } = options;
  const { status, headers, body } = outcome;
  const { id } = choice.view.endpoint;
  if (status < SERVER_ERROR) context.suspicion.onSuccess(id);
  else context.suspicion.onFailure(id);
  if (body === undefined) {
    answer.endStream(status, headers);
    logEnd(context, call, { outcome: "answered", status });
    return "end";
  }
  if (status >= SERVER_ERROR) {
    state.failure = outcome;
    if (mayRepeat(context, options)) return "again";
  }
  if (answer.hasBegun()) answer.breakOff();
  else answer.sendWhole(status, headers, body);
  logEnd(context, call, { outcome: "answered", status });
  return "end";
}

function mayRepeat(
  context: GatewayContext,
  { call, state, answer }: Settling,
): boolean {
  if (!isRepeatable(call) || state.runs >= call.route.maxAttempts) return false;
  if (!answer.isOpen()) return false;
  const remainingMs = call.deadlineMs - context.nowMs();
  return remainingMs > MIN_REMAINING_MS && takeRetry(context, call);
}

function takeRetry(context: GatewayContext, call: Call): boolean {
  return context.budgetOf(call.service).take();
}
