/**
 * The part of a request in which the endpoint may run it. From the first byte
 * written to the endpoint the outcome is `answered` or `unknown`, never
 * `not_run`.
 */

import type { Slot, SlotResult } from "../admission/mod.ts";
import type { EndpointFailure } from "../engine/mod.ts";
import type { StoredAnswer } from "../idempotency/mod.ts";
import type { RequestHead, Stream, Trailer } from "../wire/mod.ts";
import { isWaking } from "./check_request.ts";
import type { Turn } from "./crash_watch.ts";
import { elapsedMs, readBoth } from "./pause_guard.ts";
import { isListedElsewhere } from "./own_listing.ts";
import { refuseAs, unknownAs } from "./refusal.ts";
import { OVERLOAD_STATUSES, relayAnswer } from "./relay_answer.ts";
import type { RelayResult } from "./relay_answer.ts";
import type { RequestContext } from "./request_context.ts";

/** A later hand-off could come after the entry has given the request up. */
const MAX_HAND_OFF_AGE_MS = 1_000;
const RETRY_MS = 500;
/** Reasons that say nothing about the endpoint. */
const NOT_SENT: ReadonlySet<string> = new Set([
  "hand_off_expired",
  "invalid_request",
]);
/** Frees the slot of a call whose endpoint stalls without closing. */
const DETACHED_LIMIT_MS = 60_000;

export interface HandOffOptions {
  readonly context: RequestContext;
  readonly slot: Slot;
  readonly turn: Turn;
  readonly body: Uint8Array;
  /** Key of a call that must not repeat; such a call is never aborted. */
  readonly key: string | undefined;
  readonly remainingMs: number;
}

type Ending =
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
  const { crashWatch, counters, node } = context;
  const head = stream.head as RequestHead;
  const aborter = createAborter(stream, options);
  stream.send({ kind: "accepted", incarnation: node.identity.incarnation });
  const running = crashWatch.start(head.fingerprint, options.turn);

  const run = runAtEndpoint(stream, aborter, options);
  const ending = await Promise.race([run, aborter.aborted]);
  aborter.close();
  running.end(isConnectionBroken(ending));
  endKey(ending, options);
  const trailer = explainEnding(ending, key !== undefined);
  counters.outcomes.increment({
    outcome: trailer.outcome,
    code: trailer.code ?? "",
  });
  stream.end(trailer);
  slot.release(await cleanUp(ending, head, context));
  if (key !== undefined) counters.keys.increment({ decision: "finished" });
}

type Aborter = ReturnType<typeof createAborter>;

/** Fires on the deadline and when the caller leaves. */
function createAborter(
  stream: Stream,
  { context, key, remainingMs }: HandOffOptions,
) {
  const controller = new AbortController();
  let resolveAborted: (ending: Ending) => void;
  const aborted = new Promise<Ending>((resolve) => (resolveAborted = resolve));
  let isClosed = false;
  let isDetached = false;

  function abort(reason: string) {
    if (isClosed) return;
    if (key !== undefined && reason !== "no_answer") {
      // The call goes on, so that a repetition finds its answer.
      if (isDetached) return;
      isDetached = true;
      clearTimeout(timer);
      timer = setTimeout(() => abort("no_answer"), DETACHED_LIMIT_MS);
      return stream.end(unknownAs(reason, "The call is still running"));
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
    /** True once nobody waits for a call that is not aborted. */
    isDetached: () => isDetached,
    close() {
      isClosed = true;
      clearTimeout(timer);
    },
  };
}

async function runAtEndpoint(
  stream: Stream,
  { signal, isDetached }: Pick<Aborter, "signal" | "isDetached">,
  { context, body, key }: HandOffOptions,
): Promise<Ending> {
  const { client, control, clock, node } = context;
  const head = stream.head as RequestHead;
  const digest = control.digest();
  const acceptedAt = readBoth(clock);
  const isLate = () =>
    elapsedMs(acceptedAt, readBoth(clock)) > MAX_HAND_OFF_AGE_MS;
  const aborter = new AbortController();
  const answer = await client.send({
    method: head.method,
    path: head.path,
    headers: head.headers,
    body,
    signal: AbortSignal.any([signal, aborter.signal]),
    isRepeatable: key === undefined,
    mayWrite: () =>
      !isWaking(context) &&
      !control.isStopped() &&
      (key === undefined ||
        (!isLate() && !isDetached() && !isListedElsewhere(node))),
  });
  if (answer.isErr()) return explainFailure(answer.error);
  const isStored = key !== undefined;
  const result = await relayAnswer(stream, answer.value, { digest, isStored });
  // Frees the connection of an answer that is not read to its end.
  if (result.type !== "whole") aborter.abort();
  return { type: "answered", status: answer.value.status, result };
}

function explainFailure({ mayHaveRun, reason }: EndpointFailure): Ending {
  return { type: mayHaveRun ? "broken" : "not_written", reason };
}

function isConnectionBroken(ending: Ending): boolean {
  if (ending.type === "answered") return ending.result.type === "broken";
  return ending.type === "broken";
}

function endKey(ending: Ending, { context, key }: HandOffOptions) {
  if (key === undefined) return;
  if (ending.type === "not_written") return context.keyTable.release(key);
  context.keyTable.finish(key, readStored(ending));
}

function readStored(ending: Ending): StoredAnswer | undefined {
  if (ending.type !== "answered") return undefined;
  return ending.result.type === "whole" ? ending.result.stored : undefined;
}

function explainEnding(ending: Ending, isKeyed: boolean): Trailer {
  switch (ending.type) {
    case "not_written":
      return explainNotWritten(ending.reason, isKeyed);
    case "aborted":
      return unknownAs(ending.reason, "The request was cancelled");
    case "broken":
      return unknownAs("connection_lost", "The endpoint closed the connection");
    case "answered":
      return explainResult(ending.result);
  }
}

function explainNotWritten(reason: string, isKeyed: boolean): Trailer {
  switch (reason) {
    case "hand_off_expired": {
      const message = "The hand-off came too late";
      // It did not run here, but a replacement of this agent may have run it.
      return isKeyed
        ? unknownAs("key_outcome_unknown", message)
        : refuseAs("waking", message, RETRY_MS);
    }
    case "invalid_request":
      return refuseAs("bad_request", "The request is not valid HTTP");
    default:
      return refuseAs(
        "endpoint_cold",
        "The endpoint is not reachable",
        RETRY_MS,
      );
  }
}

function explainResult(result: RelayResult): Trailer {
  switch (result.type) {
    case "whole":
      return { outcome: "answered" };
    case "overloaded":
      return unknownAs("overloaded", "The engine turned the request away");
    case "wrong_digest":
      return unknownAs("endpoint_cold", "The answer is from another version");
    case "broken":
      return unknownAs("connection_lost", "The answer ended before its end");
  }
}

/** Tells admission and the endpoint's control what happened. */
async function cleanUp(
  ending: Ending,
  head: RequestHead,
  context: RequestContext,
): Promise<SlotResult> {
  const { counters, control } = context;
  if (ending.type === "aborted") {
    await cancelAtEngine(head, context);
    return "neutral";
  }
  if (ending.type === "not_written") {
    if (NOT_SENT.has(ending.reason)) return "neutral";
    counters.failures.increment({ kind: "endpoint_unreachable" });
    control.onConnectionLost();
    return "failed";
  }
  if (ending.type === "broken") {
    counters.failures.increment({ kind: "connection_lost" });
    control.onConnectionLost();
    return "failed";
  }
  const { result, status } = ending;
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

/** The slot stays taken until the engine has confirmed that it stopped. */
async function cancelAtEngine(
  { requestId }: RequestHead,
  { client, control, counters }: RequestContext,
): Promise<void> {
  if (control.digest() === undefined) return;
  const confirmed = await client.cancel(requestId);
  counters.cancels.increment({ confirmed: String(confirmed) });
  if (!confirmed) control.onCancelFailed();
}
