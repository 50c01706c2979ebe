/**
 * Brings one request to its outcome: attempts at endpoints, within the bounds
 * on retries, until one answers or the caller is told why none did.
 */

import { setTimeout as delay } from "node:timers/promises";
import type { EnvironmentDocument, PlainService } from "../document/mod.ts";
import type { AcceptedConfig } from "../membership/mod.ts";
import { listCandidates } from "../routing/mod.ts";
import type { Outcome, Peer } from "../wire/mod.ts";
import { runAttempt } from "./attempt.ts";
import type { Continued } from "./attempt.ts";
import type { Call } from "./call.ts";
import type { EntryContext } from "./entry_context.ts";
import { DONE_EVENT, readProgress } from "./event_stream.ts";
import { findRunner, suggestKey } from "./find_runner.ts";
import { createNotRun } from "./refusal.ts";
import type { Refusal } from "./refusal.ts";

const WAKE_POLL_MS = 20;
const MAX_ATTEMPTS = 3;
/** A request that loses this many endpoints may be what crashes them. */
const MAX_LOST_ENDPOINTS = 2;
/** The text travels in one frame of 256 KiB together with the headers. */
const MAX_RESUME_BYTES = 160 * 1024;

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

/** What earlier attempts at a request have shown. */
interface History {
  readonly tried: Set<string>;
  readonly outDataCentres: Set<string>;
  attempts: number;
  lostEndpoints: number;
  /** Why the last attempt failed; undefined before the first. */
  failure: Refusal | undefined;
  /** The failure of an attempt that may have run. */
  loss: Refusal | undefined;
  /** Digest of the answer that has started. */
  versionDigest: string | undefined;
}

type Step =
  | { readonly type: "attempt"; readonly peer: Peer }
  | { readonly type: "fail"; readonly refusal: Refusal };

/** Resolves with the caller's outcome when its answer has been written. */
export async function dispatch(
  context: EntryContext,
  call: Call,
): Promise<Outcome> {
  const { budget } = context;
  const { caller } = call;
  const history: History = {
    tried: new Set(),
    outDataCentres: new Set(),
    attempts: 0,
    lostEndpoints: 0,
    failure: undefined,
    loss: undefined,
    versionDigest: undefined,
  };
  budget.onRequest();
  for (;;) {
    await waitWhileWaking(context, call);
    const config = context.node.view.config();
    const continued =
      caller.isStarted() && call.stopReason() === undefined
        ? createContinued(call, history)
        : undefined;
    if (continued === "finished") {
      caller.end(DONE_EVENT);
      return "answered";
    }
    if (continued === "not_resumable") {
      return fail(context, call, { history, refusal: history.failure! });
    }
    const step = chooseStep(context, call, { history, config });
    if (step.type === "fail") {
      return fail(context, call, { history, refusal: step.refusal });
    }
    const result = await attemptAt(context, call, {
      peer: step.peer,
      config: config!,
      history,
      continued,
    });
    if (result === "answered") return "answered";
  }
}

/**
 * A request that has not started is refused while the process wakes; one that
 * has can only wait, because a refusal would cost its caller the answer.
 */
async function waitWhileWaking({ node }: EntryContext, call: Call) {
  while (
    call.caller.isStarted() &&
    call.stopReason() === undefined &&
    node.view.isWaking()
  ) {
    await delay(WAKE_POLL_MS);
  }
}

interface AttemptInput {
  readonly peer: Peer;
  readonly config: AcceptedConfig;
  readonly history: History;
  readonly continued: Continued | undefined;
}

async function attemptAt(
  context: EntryContext,
  call: Call,
  { peer, config, history, continued }: AttemptInput,
): Promise<"answered" | "failed"> {
  const { hints, metrics } = context;
  const { host, dataCentre } = peer.hello;
  const { service } = call.request;
  history.tried.add(host);
  history.attempts += 1;
  if (continued !== undefined) {
    metrics.continuations.increment();
  }
  const release = hints.addInFlight(peer);
  const attempt = runAttempt(call, {
    peer,
    configVersion: config.version,
    metrics,
    continued,
    isServedDigest: (digest) => {
      const isServed = isDigestServed(context, call, { digest, config });
      if (isServed && digest !== "") history.versionDigest = digest;
      return isServed;
    },
  });
  const result = await attempt.finally(release);
  if (result.type !== "not_sent") {
    metrics.dispatches.increment({ service: service.name, dataCentre });
  }
  switch (result.type) {
    case "answered":
      return "answered";
    case "not_sent":
      // Nothing was written, so this attempt costs nothing.
      history.attempts -= 1;
      return "failed";
    case "refused":
      history.failure = result.refusal;
      onRefused(context, peer, { config, history });
      return "failed";
    case "lost":
      history.failure = result.refusal;
      history.loss = result.refusal;
      history.lostEndpoints += 1;
      if (call.stopReason() === undefined) {
        context.node.logger.warn(
          {
            requestId: call.request.requestId,
            service: service.name,
            endpoint: host,
            reason: result.refusal.reason,
          },
          "Lost a request at an endpoint",
        );
      }
      return "failed";
  }
}

/** Notes what a refusal says about the endpoint and about this entry's view. */
function onRefused(
  { node, hints }: EntryContext,
  peer: Peer,
  { config, history }: { config: AcceptedConfig; history: History },
) {
  switch (history.failure?.code) {
    case "data_centre_out":
      history.outDataCentres.add(peer.hello.dataCentre);
      void node.fetchConfig(peer, config.version + 1);
      return;
    case "endpoint_leaving":
    case "shutting_down":
      hints.markLeaving(peer);
      return;
    case "overloaded":
    case "endpoint_cold":
      hints.markFull(peer);
      return;
  }
}

interface StepInput {
  readonly history: History;
  readonly config: AcceptedConfig | undefined;
}

function chooseStep(
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
  if (failure !== undefined && !takeRetry(context, call, failure)) {
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
  failure: Refusal,
): boolean {
  if (caller.isStarted()) budget.charge();
  else if (!budget.take()) {
    metrics.retriesDenied.increment({ cause: "budget" });
    return false;
  }
  metrics.retries.increment({ reason: failure.reason ?? failure.code });
  return true;
}

function choosePeer(
  context: EntryContext,
  { request, caller }: Call,
  { history, document }: { history: History; document: EnvironmentDocument },
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

/** Digests of all listed versions; undefined for a plain service. */
function readDigests(
  document: EnvironmentDocument,
  serviceName: string,
): ReadonlySet<string> | undefined {
  const service = document.services.find(({ name }) => name === serviceName);
  if (service?.kind !== "language") return undefined;
  const model = document.models.find(({ name }) => name === service.model);
  return new Set(model?.versions.map(({ digest }) => digest));
}

/** A version may have been added since the attempt began. */
function isDigestServed(
  { node }: EntryContext,
  { request }: Call,
  { digest, config }: { digest: string; config: AcceptedConfig },
): boolean {
  if (request.service.kind === "plain") return true;
  const { name } = request.service;
  const current = node.view.config()?.document ?? config.document;
  return [config.document, current].some((document) =>
    readDigests(document, name)?.has(digest),
  );
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

/** How a started answer goes on after its stream broke. */
function createContinued(
  { kept, request, caller }: Call,
  { versionDigest }: History,
): Continued | "finished" | "not_resumable" {
  const events = kept.read();
  const isLanguage = request.service.kind === "language";
  if (!isLanguage || !caller.isEventStream() || events === undefined) {
    return "not_resumable";
  }
  const progress = readProgress(events);
  if (progress.isFinished) return "finished";
  const isTooLong = Buffer.byteLength(progress.text) > MAX_RESUME_BYTES;
  if (versionDigest === undefined || !progress.isResumable || isTooLong) {
    return "not_resumable";
  }
  return { versionDigest, progress };
}

interface FailInput {
  readonly history: History;
  readonly refusal: Refusal;
}

function fail(
  { metrics }: EntryContext,
  { caller, stopReason }: Call,
  { history, refusal }: FailInput,
): Outcome {
  // An attempt that may have run decides, whatever later attempts said.
  const isUnknown = history.loss !== undefined || caller.isStarted();
  const told: Refusal = isUnknown
    ? {
        ...(stopReason() === undefined ? (history.loss ?? refusal) : refusal),
        outcome: "unknown",
      }
    : refusal;
  if (stopReason() === "caller_left") {
    metrics.callersLeft.increment();
    return told.outcome;
  }
  if (!caller.isStarted()) caller.refuse(told);
  else {
    metrics.streamsCut.increment({ reason: told.reason ?? told.code });
    if (caller.isEventStream()) caller.endWithError(told);
    else caller.abort();
  }
  metrics.refusals.increment({ reason: told.code });
  return told.outcome;
}
