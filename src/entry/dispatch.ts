/**
 * Dispatches one request: makes attempts at endpoints, within the limits on
 * retries, until one succeeds or the request fails.
 */

import { setTimeout as delay } from "node:timers/promises";
import type { AcceptedConfig } from "../membership/mod.ts";
import type { Outcome, Peer } from "../wire/mod.ts";
import { runAttempt } from "./attempt.ts";
import type { Continuation } from "./attempt.ts";
import type { Call } from "./call.ts";
import { decideAttempt } from "./decide_attempt.ts";
import type { EntryContext } from "./entry_context.ts";
import { DONE_EVENT, readStreamProgress } from "./event_stream.ts";
import type { Refusal } from "./refusal.ts";
import { createRequestHistory } from "./request_history.ts";
import type { RequestHistory } from "./request_history.ts";
import { isDigestServed } from "./served_digests.ts";

const RECOVERY_POLL_INTERVAL_MS = 20;
/** The text and the headers must fit into one frame of 256 KiB. */
const MAX_RESUME_BYTES = 160 * 1024;

/** Resolves with the outcome when the response has been written. */
export async function dispatch(
  context: EntryContext,
  call: Call,
): Promise<Outcome> {
  const { retryBudget } = context;
  const { caller } = call;
  const history = createRequestHistory();
  retryBudget.recordRequest();
  for (;;) {
    await waitForPauseRecovery(context, call);
    const config = context.node.view.config();
    const continuation =
      caller.isStarted() && call.stopReason() === undefined
        ? createContinuation(call, history)
        : undefined;
    if (continuation === "finished") {
      caller.end(DONE_EVENT);
      return "answered";
    }
    if (continuation === "not_resumable") {
      return failCall(context, call, {
        history,
        refusal: history.lastFailure!,
      });
    }
    const decision = decideAttempt(context, call, { history, config });
    if (decision.type === "fail") {
      return failCall(context, call, { history, refusal: decision.refusal });
    }
    const result = await sendAttempt(context, call, {
      peer: decision.peer,
      config: config!,
      history,
      continuation,
    });
    if (result === "answered") return "answered";
  }
}

/**
 * After a pause of the process, a request whose response has not started is
 * refused. A started response waits instead, because a refusal would cost its
 * caller the whole response.
 */
async function waitForPauseRecovery({ node }: EntryContext, call: Call) {
  while (
    call.caller.isStarted() &&
    call.stopReason() === undefined &&
    node.view.isRecoveringFromPause()
  ) {
    await delay(RECOVERY_POLL_INTERVAL_MS);
  }
}

interface AttemptInput {
  readonly peer: Peer;
  readonly config: AcceptedConfig;
  readonly history: RequestHistory;
  readonly continuation: Continuation | undefined;
}

async function sendAttempt(
  context: EntryContext,
  call: Call,
  { peer, config, history, continuation }: AttemptInput,
): Promise<"answered" | "failed"> {
  const { hints, metrics } = context;
  const { host, dataCentre } = peer.hello;
  const { service } = call.request;
  history.triedHosts.add(host);
  history.attemptCount += 1;
  const release = hints.addInFlight(peer);
  const attempt = runAttempt(call, {
    peer,
    configVersion: config.version,
    metrics,
    hasLostEndpoint: history.unknownOutcomeFailure !== undefined,
    continuation,
    isDigestServed: (digest) => {
      const isServed = isDigestServed(context, call, { digest, config });
      if (isServed && digest !== "") history.versionDigest = digest;
      return isServed;
    },
  });
  const result = await attempt.finally(release);
  if (result.type !== "not_sent") {
    metrics.dispatches.increment({ service: service.name, dataCentre });
    if (continuation !== undefined) metrics.continuations.increment();
  }
  switch (result.type) {
    case "answered":
      return "answered";
    case "not_sent":
      // Nothing was sent, so this does not count as an attempt.
      history.attemptCount -= 1;
      return "failed";
    case "refused":
      history.lastFailure = result.refusal;
      handleEndpointRefusal(context, peer, { config, history });
      return "failed";
    case "lost":
      history.lastFailure = result.refusal;
      history.unknownOutcomeFailure = result.refusal;
      history.lostEndpointCount += 1;
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

/** Updates the load hints and the view of the fleet after a refusal. */
function handleEndpointRefusal(
  { node, hints }: EntryContext,
  peer: Peer,
  { config, history }: { config: AcceptedConfig; history: RequestHistory },
) {
  switch (history.lastFailure?.code) {
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

/** Tells whether and how a started response can be continued. */
function createContinuation(
  { sentEvents, request, caller }: Call,
  { versionDigest }: RequestHistory,
): Continuation | "finished" | "not_resumable" {
  const events = sentEvents.read();
  const isLanguage = request.service.kind === "language";
  if (!isLanguage || !caller.isEventStream() || events === undefined) {
    return "not_resumable";
  }
  const progress = readStreamProgress(events);
  if (progress.isFinished) return "finished";
  const isTooLong = Buffer.byteLength(progress.text) > MAX_RESUME_BYTES;
  if (versionDigest === undefined || !progress.isResumable || isTooLong) {
    return "not_resumable";
  }
  return { versionDigest, progress };
}

interface FailureInput {
  readonly history: RequestHistory;
  readonly refusal: Refusal;
}

function failCall(
  { metrics }: EntryContext,
  { caller, stopReason }: Call,
  { history, refusal }: FailureInput,
): Outcome {
  // After an attempt that may have run, the outcome is unknown whatever later
  // attempts reported.
  const isOutcomeUnknown =
    history.unknownOutcomeFailure !== undefined || caller.isStarted();
  const finalRefusal: Refusal = isOutcomeUnknown
    ? {
        ...(stopReason() === undefined
          ? (history.unknownOutcomeFailure ?? refusal)
          : refusal),
        outcome: "unknown",
      }
    : refusal;
  if (stopReason() === "caller_left") {
    metrics.callersLeft.increment();
    return finalRefusal.outcome;
  }
  if (!caller.isStarted()) caller.refuse(finalRefusal);
  else {
    metrics.streamsCut.increment({
      reason: finalRefusal.reason ?? finalRefusal.code,
    });
    if (caller.isEventStream()) caller.endWithError(finalRefusal);
    else caller.abort();
  }
  metrics.refusals.increment({ reason: finalRefusal.code });
  return finalRefusal.outcome;
}
