/**
 * Brings one request to its outcome: attempts at endpoints, within the bounds
 * on retries, until one answers or the caller is told why none did.
 */

import { setTimeout as delay } from "node:timers/promises";
import type { AcceptedConfig } from "../membership/mod.ts";
import type { Outcome, Peer } from "../wire/mod.ts";
import { runAttempt } from "./attempt.ts";
import type { Continued } from "./attempt.ts";
import type { Call } from "./call.ts";
import { chooseStep } from "./choose_step.ts";
import type { EntryContext } from "./entry_context.ts";
import { DONE_EVENT, readProgress } from "./event_stream.ts";
import type { Refusal } from "./refusal.ts";
import { createHistory } from "./request_history.ts";
import type { RequestHistory } from "./request_history.ts";
import { isDigestServed } from "./served_digests.ts";

const WAKE_POLL_MS = 20;
/** The text travels in one frame of 256 KiB together with the headers. */
const MAX_RESUME_BYTES = 160 * 1024;

/** Resolves with the caller's outcome when its answer has been written. */
export async function dispatch(
  context: EntryContext,
  call: Call,
): Promise<Outcome> {
  const { budget } = context;
  const { caller } = call;
  const history = createHistory();
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
  readonly history: RequestHistory;
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
    hasLostEndpoint: history.loss !== undefined,
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
  { config, history }: { config: AcceptedConfig; history: RequestHistory },
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

/** How a started answer goes on after its stream broke. */
function createContinued(
  { kept, request, caller }: Call,
  { versionDigest }: RequestHistory,
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
  readonly history: RequestHistory;
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
