/** Decides after each attempt whether another one is made, and where. */

import type { EnvironmentDocument, PlainService } from "../document/mod.ts";
import type { AcceptedConfig } from "../membership/mod.ts";
import { listCandidates } from "../routing/mod.ts";
import type { Peer } from "../wire/mod.ts";
import type { Call } from "./call.ts";
import type { EntryContext } from "./entry_context.ts";
import { findRunner, suggestKey } from "./find_runner.ts";
import { createNotRun } from "./refusal.ts";
import type { Refusal } from "./refusal.ts";
import type { RequestHistory } from "./request_history.ts";
import { readDigests } from "./served_digests.ts";

const MAX_ATTEMPTS = 3;
/** A request that loses this many endpoints may be what crashes them. */
const MAX_LOST_ENDPOINTS = 2;

/** Refusals that another endpoint would repeat. */
const FINAL_CODES: ReadonlySet<string> = new Set([
  "bad_request",
  "body_too_large",
  "deadline_exceeded",
  "key_in_use",
  "key_mismatch",
  "key_not_time_ordered",
  "key_outcome_unknown",
  "key_required",
  "request_quarantined",
  "unknown_account",
  "unknown_model",
  "unknown_service",
]);

/** The key's runner takes no new work for a while; another one may. */
const RUNNER_CLOSED_CODES: ReadonlySet<string> = new Set([
  "data_centre_out",
  "endpoint_cold",
  "endpoint_leaving",
  "shutting_down",
]);

export type Step =
  | { readonly type: "attempt"; readonly peer: Peer }
  | { readonly type: "fail"; readonly refusal: Refusal };

export interface StepInput {
  readonly history: RequestHistory;
  readonly config: AcceptedConfig | undefined;
}

export function chooseStep(
  context: EntryContext,
  call: Call,
  { history, config }: StepInput,
): Step {
  const { request } = call;
  const { failure, loss } = history;
  const stopReason = call.stopReason();
  if (stopReason !== undefined) {
    const message = "The answer was not complete within the time limit";
    return createFail(createNotRun(stopReason, message));
  }
  if (call.remainingMs() === 0) {
    // The process was paused; its timers may not have run yet.
    const message = "The time limit passed before the request was sent";
    return createFail(loss ?? createNotRun("deadline_exceeded", message));
  }
  if (loss !== undefined) {
    const isLast =
      !request.repeatable || history.lostEndpoints >= MAX_LOST_ENDPOINTS;
    if (isLast) return createFail(loss);
  }
  if (failure !== undefined) {
    const isFinal = FINAL_CODES.has(failure.code);
    if (isFinal || history.attempts >= MAX_ATTEMPTS) return createFail(failure);
  }
  if (context.node.view.isWaking()) {
    return createFail(
      failure ?? createNotRun("waking", "The entry was paused"),
    );
  }
  if (config === undefined) {
    return createFail(
      createNotRun("no_configuration", "There is no configuration yet"),
    );
  }
  const quarantineMs = context.quarantine.remainingMs(request.fingerprint);
  if (quarantineMs > 0) {
    return createFail(
      createNotRun(
        "request_quarantined",
        "Two endpoints crashed while they ran this request",
        { retryAfterMs: quarantineMs },
      ),
    );
  }
  const { document } = config;
  if (request.key !== undefined) {
    const peer = findRunner(context.node, request.key.runner);
    if (peer !== undefined && !history.tried.has(peer.hello.host)) {
      return { type: "attempt", peer };
    }
    if (failure === undefined) return createFail(refuseUnreachable(call));
    const refusal = withSuggestedKey(context, call, {
      refusal: failure,
      document,
    });
    return createFail(refusal);
  }
  const peer = choosePeer(context, call, { history, document });
  if (peer === undefined) {
    return createFail(failure ?? refuseNoEndpoint(call, document));
  }
  if (failure !== undefined && !takeRetry(context, call, { failure, loss })) {
    return createFail(failure);
  }
  return { type: "attempt", peer };
}

function createFail(refusal: Refusal): Step {
  return { type: "fail", refusal };
}

/**
 * A started stream continues even when the budget is used up: the number of
 * such streams is bounded by the work in progress, so they cannot add up to a
 * retry storm, and cutting them would cost their callers the whole answer.
 */
function takeRetry(
  { budget, metrics }: EntryContext,
  { caller }: Call,
  { failure, loss }: { failure: Refusal; loss: Refusal | undefined },
): boolean {
  const isOverload = loss === undefined && failure.code === "overloaded";
  const cause = isOverload ? "overloaded" : "other";
  if (caller.isStarted()) budget.charge();
  else if (!budget.take(cause)) {
    metrics.retriesDenied.increment({ cause: "budget" });
    return false;
  }
  metrics.retries.increment({ reason: failure.reason ?? failure.code });
  return true;
}

function choosePeer(
  context: EntryContext,
  { request, caller }: Call,
  {
    history,
    document,
  }: { history: RequestHistory; document: EnvironmentDocument },
): Peer | undefined {
  const { node, hints, choose, random } = context;
  const { versionDigest } = history;
  const candidates = listCandidates(request.service, {
    document,
    hosts: node.view.hosts(),
    peers: node.peers(),
    hints,
    dataCentre: node.identity.dataCentre,
    digests:
      caller.isStarted() && versionDigest !== undefined
        ? new Set([versionDigest])
        : readDigests(document, request.service.name),
    tried: history.tried,
    outDataCentres: history.outDataCentres,
  });
  const { promptPrefix } = request;
  return choose(candidates, { promptPrefix, random })?.peer;
}

/**
 * Nothing was sent, but an earlier request with this key, perhaps through
 * another entry, may have run. Only the runner knows, so "not run" would be a
 * guess.
 */
function refuseUnreachable({ request }: Call): Refusal {
  const { runner } = request.key!;
  return {
    code: "runner_unreachable",
    message: `The host ${runner}, which alone runs this key, cannot be reached; this request was not sent to it, an earlier one with this key may have run`,
    outcome: "unknown",
  };
}

/** A refusal by the key's own runner proves that the key has not run. */
function withSuggestedKey(
  { node }: EntryContext,
  { request }: Call,
  { refusal, document }: { refusal: Refusal; document: EnvironmentDocument },
): Refusal {
  const isElsewhereBetter = RUNNER_CLOSED_CODES.has(refusal.code);
  if (refusal.outcome !== "not_run" || !isElsewhereBetter) return refusal;
  const service = request.service as PlainService;
  return { ...refusal, suggestedKey: suggestKey(node, document, service) };
}

function refuseNoEndpoint(
  { request }: Call,
  document: EnvironmentDocument,
): Refusal {
  const isAllOut = document.dataCentres.every(({ out }) => out);
  return isAllOut
    ? createNotRun("data_centre_out", "All data centres are out")
    : createNotRun(
        "no_endpoint",
        `No endpoint of service ${request.service.name} is available`,
      );
}
