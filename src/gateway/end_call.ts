/** Final responses made by the gateway itself, and the log lines of a call. */

import type { AttemptOutcome } from "./attempt.ts";
import type { Call } from "./call.ts";
import type { Ending, NoChoice, Settling } from "./call_state.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { STATUS_NOT_RUN, STATUS_TIMEOUT, STATUS_UNKNOWN } from "./refusal.ts";

const DEFAULT_RETRY_MS = 300;
/** Jitter as a share of the retry delay, so that callers retry spread out. */
const RETRY_SPREAD = 0.5;

/** Ends a call for which no endpoint is available. */
export function endWithout(
  context: GatewayContext,
  options: Ending & { readonly choice: NoChoice },
) {
  const { choice, ...ending } = options;
  endFailed(context, { ...ending, reason: choice.reason, choice });
}

export function endFailed(
  context: GatewayContext,
  options: Ending & {
    readonly reason: string;
    readonly choice?: NoChoice;
  },
) {
  const { call, state, answer, reason, choice } = options;
  if (answer.hasBegun()) {
    answer.breakOff();
    return logEnd(context, call, { outcome: "broken_off", reason });
  }
  if (state.failure?.body !== undefined) {
    const { status, headers, body } = state.failure;
    answer.sendWhole(status, headers, body);
    return logEnd(context, call, { outcome: "failed", reason, status });
  }
  if (state.runs > 0) {
    answer.refuse({ status: STATUS_UNKNOWN, reason });
    return logEnd(context, call, { outcome: "unknown", reason });
  }
  const retryAfterMs =
    choice === undefined
      ? DEFAULT_RETRY_MS
      : context.pressureOf(call.service).computeDelayMs();
  refuse(context, { call, answer, reason, retryAfterMs, choice });
}

export function refuse(
  context: GatewayContext,
  options: Pick<Ending, "call" | "answer"> & {
    readonly reason: string;
    readonly retryAfterMs: number;
    readonly choice?: NoChoice | undefined;
  },
) {
  const { call, answer, reason, choice } = options;
  const spread = 1 + RETRY_SPREAD * context.random();
  const retryAfterMs = Math.round(options.retryAfterMs * spread);
  answer.refuse({ status: STATUS_NOT_RUN, reason, retryAfterMs });
  logEnd(context, call, {
    outcome: "refused",
    reason,
    retryAfterMs,
    ...(choice !== undefined && {
      listedEndpoints: choice.listedEndpoints,
      usableEndpoints: choice.usableEndpoints,
      forecastMs: choice.forecastMs,
      refusedShare: context.pressureOf(call.service).share(),
    }),
    configVersion: call.configVersion,
    directoryAgeMs: Math.round(context.directory.ageMs()),
  });
}

export function endExpired(
  context: GatewayContext,
  options: Ending & { readonly outcome: AttemptOutcome },
) {
  const { call, state, answer, outcome } = options;
  if (answer.hasBegun()) {
    answer.breakOff();
    return logEnd(context, call, { outcome: "broken_off", reason: "deadline" });
  }
  const hasRun = state.runs > 0 || outcome.type !== "not_sent";
  answer.refuse({
    status: hasRun ? STATUS_TIMEOUT : STATUS_NOT_RUN,
    reason: "deadline",
  });
  logEnd(context, call, { outcome: "expired", hasRun });
}

export function logAttempt(
  context: GatewayContext,
  options: Omit<Settling, "answer">,
) {
  const { call, state, choice, outcome } = options;
  const { endpoint, load, weightVersion } = choice.view;
  const { type, ...details } = outcome;
  context.logger.info(
    {
      id: call.id,
      endpoint: endpoint.id,
      address: endpoint.address,
      requests: load.requests,
      unreadTokens: load.unreadTokens,
      promptTokens: call.headers.promptTokens,
      forecastMs: Math.round(choice.forecastMs),
      headMs: state.headMs,
      weightVersion,
      configVersion: call.configVersion,
      directoryAgeMs: Math.round(context.directory.ageMs()),
      outcome: type,
      ...("reason" in details && { reason: details.reason }),
      ...("status" in details && { status: details.status }),
      elapsedMs: Math.round(context.nowMs() - call.receivedAtMs),
    },
    "attempt ended",
  );
}

export function logEnd(
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
      ...details,
      elapsedMs: Math.round(context.nowMs() - call.receivedAtMs),
    },
    "call ended",
  );
}
