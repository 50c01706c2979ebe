/**
 * Dispatches one call: chooses an endpoint, sends the request there, and
 * retries at another endpoint where that is safe. A request that may have run
 * is retried only if it may run more than once; a broken stream is resumed
 * after its last complete event.
 */

import type { CallService } from "../directory/mod.ts";
import { createFingerprint } from "../quarantine/mod.ts";
import type { Attempt, AttemptOutcome } from "./attempt.ts";
import type { Call } from "./call.ts";
import { createState } from "./call_state.ts";
import type { Step } from "./call_state.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import { chooseEndpoint } from "./choose_endpoint.ts";
import type { Choice } from "./choose_endpoint.ts";
import { endExpired, endWithout, logAttempt, refuse } from "./end_call.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { sendAttempt, trackAttempt } from "./send_attempt.ts";
import { settleOutcome } from "./settle_outcome.ts";
import { viewEndpoints } from "./view_endpoints.ts";

/**
 * A route can be published before its service. The next configuration version
 * then contains the service.
 */
const UNKNOWN_SERVICE_RETRY_MS = 1_000;

export interface DispatchControl {
  /** The caller has closed its connection. */
  cancel(): void;
  readonly done: Promise<void>;
}

export function dispatchCall(
  context: GatewayContext,
  call: Call,
  answer: CallerAnswer,
): DispatchControl {
  let attempt: Attempt | undefined;
  let ended: "cancelled" | "expired" | undefined;

  function end(how: "cancelled" | "expired") {
    ended ??= how;
    attempt?.abort();
  }

  const timer = setTimeout(
    () => end("expired"),
    Math.max(0, call.deadlineMs - context.nowMs()),
  );

  const fingerprint = createFingerprint({
    clientAccount: call.account?.name ?? "",
    method: call.method,
    path: call.path,
    body: call.body,
  });

  async function run() {
    const service = findService(context, call.service);
    if (service === undefined) {
      return refuse(context, {
        call,
        answer,
        reason: "unknown_service",
        retryAfterMs: UNKNOWN_SERVICE_RETRY_MS,
      });
    }
    const quarantinedMs = context.quarantine.remainingMs(fingerprint);
    if (quarantinedMs > 0) {
      return refuse(context, {
        call,
        answer,
        reason: "crashes_endpoints",
        retryAfterMs: quarantinedMs,
      });
    }
    context.budgetOf(service.name).onRequest();
    const pressure = context.pressureOf(service.name);
    const state = createState(call);
    for (;;) {
      const choice = choose(context, { call, service, state });
      if (choice.type === "none") {
        pressure.onRefused();
        return endWithout(context, { call, answer, state, choice });
      }
      pressure.onAdmitted();
      attempt = sendAttempt(context, { call, service, state, answer, choice });
      const outcome = await trackAttempt(context, attempt, choice.view);
      logAttempt(context, { call, state, choice, outcome });
      if (isLikelyCrash(outcome)) {
        const { address } = choice.view.endpoint;
        context.onCrash(
          context.quarantine.recordPreliminary(fingerprint, address),
        );
      }
      if (ended === "cancelled") return;
      if (ended === "expired") {
        return endExpired(context, { call, answer, state, outcome });
      }
      const ending = { call, state, answer, outcome, choice };
      const next = settleOutcome(context, ending);
      if (next === "end") return;
    }
  }

  const done = run().finally(() => clearTimeout(timer));
  return { cancel: () => end("cancelled"), done };
}

const CRASH_REASONS: ReadonlySet<string> = new Set([
  "ECONNRESET",
  "UND_ERR_SOCKET",
  "cut_off",
]);

/** True if the endpoint closed the connection and may have run the request. */
function isLikelyCrash(outcome: AttemptOutcome): boolean {
  return outcome.type === "lost" && CRASH_REASONS.has(outcome.reason);
}

function findService(
  context: GatewayContext,
  name: string,
): CallService | undefined {
  return context.directory
    .config()
    ?.services.find((service) => service.name === name);
}

function choose(context: GatewayContext, step: Step): Choice {
  const { call, service, state } = step;
  const { tried, weightVersion } = state;
  const now = context.nowMs();
  const isFirst = state.runs + state.notRun === 0;
  const objectiveLeftMs = isFirst
    ? call.route.objectiveMs - (now - call.receivedAtMs)
    : call.deadlineMs - now;
  return chooseEndpoint(
    viewEndpoints(context, { call, service, tried, weightVersion }),
    {
      service,
      promptTokens: call.headers.promptTokens ?? 0,
      objectiveLeftMs,
      random: context.random,
    },
  );
}
