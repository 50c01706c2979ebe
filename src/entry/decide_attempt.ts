/** Decides before each attempt whether to make it, and at which peer. */

import type { EnvironmentDocument, PlainService } from "../document/mod.ts";
import type { AcceptedConfig } from "../membership/mod.ts";
import { listCandidates } from "../routing/mod.ts";
import type { Peer } from "../wire/mod.ts";
import type { Call } from "./call.ts";
import type { EntryContext } from "./entry_context.ts";
import { findRunnerPeer, suggestKey } from "./find_runner.ts";
import { createNotRunRefusal } from "./refusal.ts";
import type { Refusal } from "./refusal.ts";
import type { RequestHistory } from "./request_history.ts";
import { listVersionDigests } from "./served_digests.ts";

const MAX_ATTEMPTS = 3;
/** A request that has lost this many endpoints may have crashed them. */
const MAX_LOST_ENDPOINTS = 2;

/** Refusals that do not depend on the endpoint, so a retry is useless. */
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

/** The runner accepts no new requests; a new key can get another runner. */
const RUNNER_UNAVAILABLE_CODES: ReadonlySet<string> = new Set([
  "data_centre_out",
  "endpoint_cold",
  "endpoint_leaving",
  "shutting_down",
]);

export type AttemptDecision =
  | { readonly type: "attempt"; readonly peer: Peer }
  | { readonly type: "fail"; readonly refusal: Refusal };

export interface AttemptDecisionInput {
  readonly history: RequestHistory;
  readonly config: AcceptedConfig | undefined;
}

export function decideAttempt(
  context: EntryContext,
  call: Call,
  { history, config }: AttemptDecisionInput,
): AttemptDecision {
  const { request } = call;
  const { lastFailure, unknownOutcomeFailure } = history;
  const stopReason = call.stopReason();
  if (stopReason !== undefined) {
    const message = "The answer was not complete within the time limit";
    return refuse(createNotRunRefusal(stopReason, message));
  }
  if (call.remainingMs() === 0) {
    // After a pause of the process, the timer may not have fired yet.
    const message = "The time limit passed before the request was sent";
    return refuse(
      unknownOutcomeFailure ??
        createNotRunRefusal("deadline_exceeded", message),
    );
  }
  if (unknownOutcomeFailure !== undefined) {
    const isLast =
      !request.repeatable || history.lostEndpointCount >= MAX_LOST_ENDPOINTS;
    if (isLast) return refuse(unknownOutcomeFailure);
  }
  if (lastFailure !== undefined) {
    const isFinal = FINAL_CODES.has(lastFailure.code);
    if (isFinal || history.attemptCount >= MAX_ATTEMPTS)
      return refuse(lastFailure);
  }
  if (context.node.view.isRecoveringFromPause()) {
    return refuse(
      lastFailure ?? createNotRunRefusal("waking", "The entry was paused"),
    );
  }
  if (config === undefined) {
    return refuse(
      createNotRunRefusal("no_configuration", "There is no configuration yet"),
    );
  }
  const quarantineMs = context.quarantine.remainingMs(request.fingerprint);
  if (quarantineMs > 0) {
    return refuse(
      createNotRunRefusal(
        "request_quarantined",
        "Two endpoints crashed while they ran this request",
        { retryAfterMs: quarantineMs },
      ),
    );
  }
  const { document } = config;
  if (request.idempotencyKey !== undefined) {
    const peer = findRunnerPeer(context.node, request.idempotencyKey.runner);
    if (peer !== undefined && !history.triedHosts.has(peer.hello.host)) {
      return { type: "attempt", peer };
    }
    if (lastFailure === undefined)
      return refuse(createUnreachableRefusal(call));
    const refusal = addSuggestedKey(context, call, {
      refusal: lastFailure,
      document,
    });
    return refuse(refusal);
  }
  const peer = choosePeer(context, call, { history, document });
  if (peer === undefined) {
    return refuse(lastFailure ?? createNoEndpointRefusal(call, document));
  }
  if (
    lastFailure !== undefined &&
    !takeRetry(context, call, { lastFailure, unknownOutcomeFailure })
  ) {
    return refuse(lastFailure);
  }
  return { type: "attempt", peer };
}

function refuse(refusal: Refusal): AttemptDecision {
  return { type: "fail", refusal };
}

/**
 * A started stream continues even if the retry budget is used up. Such streams
 * cannot cause a retry storm, because their number is bounded by the requests
 * in flight, and aborting one would cost its caller the whole response.
 */
function takeRetry(
  { retryBudget, metrics }: EntryContext,
  { caller }: Call,
  {
    lastFailure,
    unknownOutcomeFailure,
  }: { lastFailure: Refusal; unknownOutcomeFailure: Refusal | undefined },
): boolean {
  const isOverload =
    unknownOutcomeFailure === undefined && lastFailure.code === "overloaded";
  const cause = isOverload ? "overloaded" : "other";
  if (caller.isStarted()) retryBudget.recordRetry();
  else if (!retryBudget.takeRetry(cause)) {
    metrics.retriesDenied.increment({ cause: "budget" });
    return false;
  }
  metrics.retries.increment({ reason: lastFailure.reason ?? lastFailure.code });
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
  const { node, hints, chooseCandidate, random } = context;
  const { versionDigest } = history;
  const candidates = listCandidates(request.service, {
    document,
    hosts: node.view.hosts(),
    peers: node.peers(),
    hints,
    dataCentre: node.identity.dataCentre,
    allowedDigests:
      caller.isStarted() && versionDigest !== undefined
        ? new Set([versionDigest])
        : listVersionDigests(document, request.service.name),
    triedHosts: history.triedHosts,
    outDataCentres: history.outDataCentres,
  });
  const { promptPrefix } = request;
  return chooseCandidate(candidates, { promptPrefix, random })?.peer;
}

/**
 * Nothing was sent, but an earlier request with this key, perhaps through
 * another entry, may have run. Only the runner knows that, so the outcome is
 * "unknown" and not "not run".
 */
function createUnreachableRefusal({ request }: Call): Refusal {
  const { runner } = request.idempotencyKey!;
  return {
    code: "runner_unreachable",
    message: `The host ${runner}, which alone runs this key, cannot be reached; this request was not sent to it, an earlier one with this key may have run`,
    outcome: "unknown",
  };
}

/** A "not run" refusal by the key's runner proves that the key has not run. */
function addSuggestedKey(
  { node }: EntryContext,
  { request }: Call,
  { refusal, document }: { refusal: Refusal; document: EnvironmentDocument },
): Refusal {
  const isRunnerUnavailable = RUNNER_UNAVAILABLE_CODES.has(refusal.code);
  if (refusal.outcome !== "not_run" || !isRunnerUnavailable) return refusal;
  const service = request.service as PlainService;
  return { ...refusal, suggestedKey: suggestKey(node, document, service) };
}

function createNoEndpointRefusal(
  { request }: Call,
  document: EnvironmentDocument,
): Refusal {
  const areAllOut = document.dataCentres.every(({ out }) => out);
  return areAllOut
    ? createNotRunRefusal("data_centre_out", "All data centres are out")
    : createNotRunRefusal(
        "no_endpoint",
        `No endpoint of service ${request.service.name} is available`,
      );
}
