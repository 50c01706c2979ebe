/** Final responses made by the gateway itself, and the log lines of a call. */

import { DEFAULT_RETRY_DELAY_MS, spreadDelay } from "../scheduling/mod.ts";
import type { ReturnDelay } from "../scheduling/mod.ts";
import type { AttemptOutcome } from "./attempt.ts";
import type { Call } from "./call.ts";
import type { ActiveCall, NoEndpoint, FinishedAttempt } from "./call_state.ts";
import type { GatewayContext } from "./gateway_context.ts";
import {
  STATUS_NOT_RUN,
  STATUS_TIMEOUT,
  STATUS_OUTCOME_UNKNOWN,
} from "./refusal.ts";
import {
  drawDelayMs,
  findReturnDelay,
  replaceRetryAfter,
} from "./return_delay.ts";

/** Ends a call for which no endpoint is available. */
export function endWithoutEndpoint(
  context: GatewayContext,
  options: ActiveCall & { readonly choice: NoEndpoint },
) {
  const { choice, ...activeCall } = options;
  endWithFailure(context, { ...activeCall, reason: choice.reason, choice });
}

export function endWithFailure(
  context: GatewayContext,
  options: ActiveCall & {
    readonly reason: string;
    readonly choice?: NoEndpoint;
  },
) {
  const { call, state, response, reason, choice } = options;
  if (response.hasStarted()) {
    response.abort(reason);
    return logCallEnd(context, call, { outcome: "broken_off", reason });
  }
  if (state.failedResponse?.body !== undefined) {
    const { status, body } = state.failedResponse;
    const headers = replaceRetryAfter(context, call, state.failedResponse);
    response.sendComplete(status, headers, body);
    return logCallEnd(context, call, { outcome: "failed", reason, status });
  }
  if (state.runs > 0) {
    response.refuse({ status: STATUS_OUTCOME_UNKNOWN, reason });
    return logCallEnd(context, call, { outcome: "unknown", reason });
  }
  const retryAfterMs =
    choice === undefined
      ? DEFAULT_RETRY_DELAY_MS
      : Math.max(
          choice.minRetryAfterMs ?? 0,
          context.getRefusalTracker(call.service).computeRetryDelayMs(),
        );
  const delay = mayAllBePaused(choice)
    ? findReturnDelay(context, call)
    : undefined;
  refuseCall(context, { call, response, reason, retryAfterMs, choice, delay });
}

/** Endpoints that the call has been sent to are not in the choice. */
function mayAllBePaused(choice: NoEndpoint | undefined): boolean {
  return (
    choice === undefined ||
    choice.reason === "endpoints_paused" ||
    choice.reason === "no_endpoint"
  );
}

export function refuseCall(
  context: GatewayContext,
  options: Pick<ActiveCall, "call" | "response"> & {
    readonly reason: string;
    readonly retryAfterMs: number;
    readonly choice?: NoEndpoint | undefined;
    /** Used in place of `retryAfterMs`. */
    readonly delay?: ReturnDelay | undefined;
  },
) {
  const { call, response, reason, choice } = options;
  const { delay = spreadDelay(options.retryAfterMs) } = options;
  const retryAfterMs = drawDelayMs(context, delay);
  response.refuse({ status: STATUS_NOT_RUN, reason, retryAfterMs });
  logCallEnd(context, call, {
    outcome: "refused",
    reason,
    retryAfterMs,
    ...(choice !== undefined && {
      listedEndpoints: choice.listedEndpoints,
      usableEndpoints: choice.usableEndpoints,
      forecastMs: choice.forecastMs,
      refusedShare: context.getRefusalTracker(call.service).refusedShare(),
    }),
    configVersion: call.configVersion,
    directoryAgeMs: Math.round(context.directory.ageMs()),
  });
}

export function endExpired(
  context: GatewayContext,
  options: ActiveCall & { readonly outcome: AttemptOutcome },
) {
  const { call, state, response, outcome } = options;
  if (response.hasStarted()) {
    response.abort("deadline");
    return logCallEnd(context, call, {
      outcome: "broken_off",
      reason: "deadline",
    });
  }
  const hasRun = state.runs > 0 || outcome.type !== "not_sent";
  response.refuse({
    status: hasRun ? STATUS_TIMEOUT : STATUS_NOT_RUN,
    reason: "deadline",
  });
  logCallEnd(context, call, { outcome: "expired", hasRun });
}

export function logAttempt(
  context: GatewayContext,
  options: Omit<FinishedAttempt, "response" | "state">,
) {
  const { call, choice, outcome, headMs } = options;
  const { endpoint, load, weightVersion, startWindowMs } = choice.view;
  const { type, ...details } = outcome;
  context.logger.info(
    {
      id: call.id,
      endpoint: endpoint.id,
      address: endpoint.address,
      requests: Math.round(load.requests),
      requestsAhead: Math.round(load.requestsAhead),
      unreadTokens: Math.round(load.unreadTokens),
      slowdown: load.slowdown,
      promptTokens: call.headers.promptTokens,
      forecastMs: Math.round(choice.forecastMs),
      priority: choice.priority,
      headMs,
      weightVersion,
      ...(Number.isFinite(startWindowMs) && {
        startWindowMs: Math.round(startWindowMs!),
      }),
      configVersion: call.configVersion,
      directoryAgeMs: Math.round(context.directory.ageMs()),
      outcome: type,
      ...("reason" in details && { reason: details.reason }),
      ...("status" in details && { status: details.status }),
      ...(type === "lost" && { promptParts: call.headers.sharedPromptParts }),
      elapsedMs: Math.round(context.nowMs() - call.receivedAtMs),
    },
    "attempt ended",
  );
}

export function logCallEnd(
  context: GatewayContext,
  call: Call,
  details: Readonly<Record<string, unknown>> & { readonly outcome: string },
) {
  context.registry
    .counter("calls_total", "Calls by route kind, outcome and reason")
    .increment({
      kind: call.route.kind,
      outcome: details.outcome,
      reason: String(details["reason"] ?? ""),
    });
  context.logger.info(
    {
      id: call.id,
      route: call.route.name,
      service: call.service,
      account: call.account?.name,
      ...(call.urgency.rankCount > 1 && { urgency: call.urgency.rank }),
      ...details,
      elapsedMs: Math.round(context.nowMs() - call.receivedAtMs),
    },
    "call ended",
  );
}
