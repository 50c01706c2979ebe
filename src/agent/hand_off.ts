/**
 * Hands a request off to the endpoint. Once the first byte has been written to
 * the endpoint, the outcome is `answered` or `unknown`, never `not_run`.
 */

import type { Slot, SlotResult } from "../admission/mod.ts";
import type { EndpointFailure } from "../engine/mod.ts";
import type { StoredResponse } from "../idempotency/mod.ts";
import type { RequestHead, Stream, Trailer } from "../wire/mod.ts";
import { detectPause } from "./check_request.ts";
import type { StartPermit } from "./crash_detector.ts";
import { computeElapsedMs, readClocks } from "./pause_check.ts";
import { isListedAtOtherAddress } from "./own_listing.ts";
import { createRefusal, createUnknownOutcome } from "./refusal.ts";
import { OVERLOAD_STATUSES, relayAnswer } from "./relay_answer.ts";
import type { RelayResult } from "./relay_answer.ts";
import type { RequestContext } from "./request_context.ts";

/** A later hand-off could happen after the entry has abandoned the request. */
const MAX_HAND_OFF_AGE_MS = 1_000;
const RETRY_AFTER_MS = 500;
/** Reasons that do not indicate a fault of the endpoint. */
const ENDPOINT_INDEPENDENT_REASONS: ReadonlySet<string> = new Set([
  "hand_off_expired",
  "invalid_request",
]);
/** Releases the slot of a detached request whose endpoint stalls. */
const DETACHED_TIMEOUT_MS = 60_000;

export interface HandOffOptions {
  readonly context: RequestContext;
  readonly slot: Slot;
  readonly permit: StartPermit;
  readonly body: Uint8Array;
  /** Key of a non-repeatable request; it runs on if the caller leaves. */
  readonly key: string | undefined;
  readonly remainingMs: number;
}

type HandOffOutcome =
  | { readonly type: "not_written"; readonly reason: string }
  | { readonly type: "aborted"; readonly reason: string }
  | {
      readonly type: "answered";
      readonly status: number;
      readonly result: RelayResult;
    }
  | { readonly type: "broken"; readonly reason: string };

export async function handOff(
  stream: Stream,
  options: HandOffOptions,
): Promise<void> {
  const { context, slot, key } = options;
  const { crashDetector, counters, node } = context;
  const head = stream.head as RequestHead;
  const abortHandle = createAbortHandle(stream, options);
  stream.send({ kind: "accepted", incarnation: node.identity.incarnation });
  const trackedRequest = crashDetector.trackRequest(
    head.fingerprint,
    options.permit,
  );

  const endpointRun = runAtEndpoint(stream, abortHandle, options);
  const outcome = await Promise.race([endpointRun, abortHandle.aborted]);
  abortHandle.close();
  trackedRequest.finish(isConnectionBroken(outcome));
  updateKeyTable(outcome, options);
  const trailer = createTrailer(outcome, key !== undefined);
  counters.outcomes.increment({
    outcome: trailer.outcome,
    code: trailer.code ?? "",
  });
  stream.end(trailer);
  slot.release(await cleanUp(outcome, head, context));
  if (key !== undefined)
    counters.keyDecisions.increment({ decision: "finished" });
}

type AbortHandle = ReturnType<typeof createAbortHandle>;

/** Aborts the request at its deadline or when the caller leaves. */
function createAbortHandle(
  stream: Stream,
  { context, key, remainingMs }: HandOffOptions,
) {
  const controller = new AbortController();
  let resolveAborted: (outcome: HandOffOutcome) => void;
  const aborted = new Promise<HandOffOutcome>(
    (resolve) => (resolveAborted = resolve),
  );
  let isClosed = false;
  let isDetached = false;

  function abort(reason: string) {
    if (isClosed) return;
    if (key !== undefined && reason !== "no_answer") {
      // Keeps running, so that a retry with the same key gets its answer.
      if (isDetached) return;
      isDetached = true;
      clearTimeout(timer);
      timer = setTimeout(() => abort("no_answer"), DETACHED_TIMEOUT_MS);
      return stream.end(
        createUnknownOutcome(reason, "The call is still running"),
      );
    }
    isClosed = true;
    context.counters.failures.increment({ kind: reason });
    resolveAborted({ type: "aborted", reason });
    controller.abort();
  }

  let timer = setTimeout(() => abort("deadline_exceeded"), remainingMs);
  stream.onLost(() => abort("caller_left"));
  return {
    signal: controller.signal,
    aborted,
    /** True once the request runs on without a waiting caller. */
    isDetached: () => isDetached,
    close() {
      isClosed = true;
      clearTimeout(timer);
    },
  };
}

async function runAtEndpoint(
  stream: Stream,
  { signal, isDetached }: Pick<AbortHandle, "signal" | "isDetached">,
  { context, body, key }: HandOffOptions,
): Promise<HandOffOutcome> {
  const { client, control, clock, node } = context;
  const head = stream.head as RequestHead;
  const digest = control.digest();
  const acceptedAt = readClocks(clock);
  const isExpired = () =>
    computeElapsedMs(acceptedAt, readClocks(clock)) > MAX_HAND_OFF_AGE_MS;
  const responseAborter = new AbortController();
  const response = await client.send({
    method: head.method,
    path: head.path,
    headers: head.headers,
    body,
    signal: AbortSignal.any([signal, responseAborter.signal]),
    isRepeatable: key === undefined,
    isWriteAllowed: () =>
      !detectPause(context) &&
      !control.isStopped() &&
      (key === undefined ||
        (!isExpired() && !isDetached() && !isListedAtOtherAddress(node))),
  });
  if (response.isErr()) return convertFailure(response.error);
  const isStored = key !== undefined;
  const result = await relayAnswer(stream, response.value, {
    digest,
    isStored,
  });
  // Closes the connection if the answer was not read to its end.
  if (result.type !== "whole") responseAborter.abort();
  return { type: "answered", status: response.value.status, result };
}

function convertFailure({
  mayHaveRun,
  reason,
}: EndpointFailure): HandOffOutcome {
  return { type: mayHaveRun ? "broken" : "not_written", reason };
}

function isConnectionBroken(outcome: HandOffOutcome): boolean {
  if (outcome.type === "answered") return outcome.result.type === "broken";
  return outcome.type === "broken";
}

function updateKeyTable(
  outcome: HandOffOutcome,
  { context, key }: HandOffOptions,
) {
  if (key === undefined) return;
  if (outcome.type === "not_written") return context.keyTable.release(key);
  context.keyTable.finish(key, findStoredResponse(outcome));
}

function findStoredResponse(
  outcome: HandOffOutcome,
): StoredResponse | undefined {
  if (outcome.type !== "answered") return undefined;
  return outcome.result.type === "whole" ? outcome.result.stored : undefined;
}

function createTrailer(outcome: HandOffOutcome, isKeyed: boolean): Trailer {
  switch (outcome.type) {
    case "not_written":
      return createNotWrittenTrailer(outcome.reason, isKeyed);
    case "aborted":
      return createUnknownOutcome(outcome.reason, "The request was cancelled");
    case "broken":
      return createUnknownOutcome(
        "connection_lost",
        "The endpoint closed the connection",
      );
    case "answered":
      return createRelayTrailer(outcome.result);
  }
}

function createNotWrittenTrailer(reason: string, isKeyed: boolean): Trailer {
  switch (reason) {
    case "hand_off_expired": {
      const message = "The hand-off came too late";
      // Not run here, but a replacement of this agent may have run it.
      return isKeyed
        ? createUnknownOutcome("key_outcome_unknown", message)
        : createRefusal("waking", message, RETRY_AFTER_MS);
    }
    case "invalid_request":
      return createRefusal("bad_request", "The request is not valid HTTP");
    default:
      return createRefusal(
        "endpoint_cold",
        "The endpoint is not reachable",
        RETRY_AFTER_MS,
      );
  }
}

function createRelayTrailer(result: RelayResult): Trailer {
  switch (result.type) {
    case "whole":
      return { outcome: "answered" };
    case "overloaded":
      return createUnknownOutcome(
        "overloaded",
        "The engine turned the request away",
      );
    case "wrong_digest":
      return createUnknownOutcome(
        "endpoint_cold",
        "The answer is from another version",
      );
    case "broken":
      return createUnknownOutcome(
        "connection_lost",
        "The answer ended before its end",
      );
  }
}

/**
 * Reports the result to the endpoint control, cancels the request at the engine
 * if necessary, and returns the result for admission.
 */
async function cleanUp(
  outcome: HandOffOutcome,
  head: RequestHead,
  context: RequestContext,
): Promise<SlotResult> {
  const { counters, control } = context;
  if (outcome.type === "aborted") {
    await cancelAtEngine(head, context);
    return "neutral";
  }
  if (outcome.type === "not_written") {
    if (ENDPOINT_INDEPENDENT_REASONS.has(outcome.reason)) return "neutral";
    counters.failures.increment({ kind: "endpoint_unreachable" });
    control.onConnectionLost();
    return "failed";
  }
  if (outcome.type === "broken") {
    counters.failures.increment({ kind: "connection_lost" });
    control.onConnectionLost();
    return "failed";
  }
  const { result, status } = outcome;
  if (result.type === "wrong_digest") {
    counters.failures.increment({ kind: "wrong_digest" });
    control.onWrongDigest();
    await cancelAtEngine(head, context);
    return "failed";
  }
  if (result.type === "overloaded") {
    counters.failures.increment({ kind: "engine_overloaded" });
    return "failed";
  }
  if (result.type === "broken") {
    counters.failures.increment({ kind: result.reason });
    control.onConnectionLost();
    return "failed";
  }
  return OVERLOAD_STATUSES.has(status) ? "failed" : "succeeded";
}

/**
 * The slot stays occupied until the engine has answered. Without a confirmation
 * the request counts as an external one afterwards.
 */
async function cancelAtEngine(
  { requestId }: RequestHead,
  { client, control, counters }: RequestContext,
): Promise<void> {
  if (control.digest() === undefined) return;
  const confirmed = await client.cancel(requestId);
  counters.cancels.increment({ confirmed: String(confirmed) });
  if (!confirmed) control.onCancelFailed();
}
