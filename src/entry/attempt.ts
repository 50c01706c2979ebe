/** Makes one attempt at a request, over one stream to one agent. */

import type { Peer, ResponseHead, Stream, Trailer } from "../wire/mod.ts";
import {
  createEventSink,
  createBufferedSink,
  isEventStream,
} from "./response_sink.ts";
import type { ResponseSink } from "./response_sink.ts";
import type { Call } from "./call.ts";
import type { EntryMetrics } from "./entry_metrics.ts";
import type { StreamProgress } from "./event_stream.ts";
import type { Refusal } from "./refusal.ts";

export type AttemptResult =
  | { readonly type: "answered" }
  /** The connection was closed before anything was written. */
  | { readonly type: "not_sent" }
  /** The agent refused the request before the endpoint got it. */
  | { readonly type: "refused"; readonly refusal: Refusal }
  /** The outcome is unknown: the request may have run. */
  | { readonly type: "lost"; readonly refusal: Refusal };

type LostReason =
  | "connection_lost"
  | "cut_off"
  | "event_too_large"
  | "no_answer"
  | "not_continued"
  | "protocol_error"
  | "wrong_digest";

export interface AttemptOptions {
  readonly peer: Peer;
  readonly configVersion: number;
  readonly metrics: EntryMetrics;
  /** True if a response of this model version may be forwarded. */
  readonly isDigestServed: (digest: string) => boolean;
  /** True if an earlier attempt may have run. */
  readonly hasLostEndpoint: boolean;
  /** Set if the caller already has a part of the response. */
  readonly continuation?: Continuation | undefined;
}

export interface Continuation {
  readonly versionDigest: string;
  readonly progress: StreamProgress;
}

export async function runAttempt(
  call: Call,
  options: AttemptOptions,
): Promise<AttemptResult> {
  const { request } = call;
  const { peer, configVersion, continuation } = options;
  const opened = peer.openStream({
    kind: "request",
    requestId: request.requestId,
    service: request.service.name,
    clientAccount: request.clientAccount.name,
    priority: request.clientAccount.priority,
    method: request.method,
    path: request.path,
    headers: request.headers,
    configVersion,
    remainingMs: call.remainingMs(),
    repeatable: request.repeatable,
    fingerprint: request.fingerprint,
    ...(request.idempotencyKey && {
      idempotencyKey: request.idempotencyKey.text,
    }),
    ...(options.hasLostEndpoint && { hasLostEndpoint: true }),
    ...(continuation && {
      versionDigest: continuation.versionDigest,
      resume: {
        text: continuation.progress.text,
        tokens: continuation.progress.tokens,
      },
    }),
  });
  if (opened.isErr()) return { type: "not_sent" };
  const stream = opened.value;
  call.setStream(stream);
  void sendBody(stream, request.body);
  const result = await readResponse(call, stream, options);
  // No effect if both directions have ended.
  stream.reset(
    result.type === "lost" ? (result.refusal.reason ?? "lost") : "finished",
  );
  return result;
}

async function sendBody(stream: Stream, body: Buffer) {
  const written = await stream.write(body);
  if (written.isOk()) stream.end({ outcome: "answered" });
}

async function readResponse(
  call: Call,
  stream: Stream,
  options: AttemptOptions,
): Promise<AttemptResult> {
  let sink: ResponseSink | undefined;
  let result: AttemptResult | undefined;

  function stop(final: AttemptResult): "stop" {
    result = final;
    return "stop";
  }

  await stream.forEach((event) => {
    switch (event.type) {
      case "message": {
        const { message } = event;
        if (message.kind !== "response_head") return undefined;
        if (sink !== undefined) return stop(createLostResult("protocol_error"));
        if (!hasAllowedDigest(message, options)) {
          return stop(createLostResult("wrong_digest"));
        }
        sink = createSink(call, message, options);
        return sink === undefined
          ? stop(createLostResult("not_continued"))
          : undefined;
      }
      case "data": {
        if (sink === undefined) return stop(createLostResult("protocol_error"));
        const pushResult = sink.push(event.bytes);
        return typeof pushResult === "string"
          ? stop(createLostResult(pushResult))
          : pushResult;
      }
      case "end":
        return stop(createFinalResult(event.trailer, sink));
      case "lost":
        return stop(createLostResult("connection_lost"));
    }
  });
  return result!;
}

function createSink(
  call: Call,
  head: ResponseHead,
  { metrics, continuation }: AttemptOptions,
): ResponseSink | undefined {
  const isEventResponse = head.status === 200 && isEventStream(head);
  if (isEventResponse) {
    return createEventSink(call, head, {
      metrics,
      progress: continuation?.progress,
    });
  }
  return continuation === undefined
    ? createBufferedSink(call, head)
    : undefined;
}

/** Error responses of an engine may have no model version. */
function hasAllowedDigest(
  { status, versionDigest }: ResponseHead,
  { isDigestServed, continuation }: AttemptOptions,
): boolean {
  if (versionDigest === undefined) return status >= 400 || isDigestServed("");
  if (continuation !== undefined)
    return versionDigest === continuation.versionDigest;
  return isDigestServed(versionDigest);
}

function createFinalResult(
  trailer: Trailer,
  sink: ResponseSink | undefined,
): AttemptResult {
  const { outcome, code, message, retryAfterMs } = trailer;
  if (outcome === "answered" && sink !== undefined) {
    const error = sink.finish();
    return error === undefined ? { type: "answered" } : createLostResult(error);
  }
  if (outcome === "not_run" && sink === undefined) {
    const refusal: Refusal = {
      code: code ?? "overloaded",
      message: message ?? "The endpoint's agent refused the request",
      outcome: "not_run",
      ...(retryAfterMs !== undefined && { retryAfterMs }),
    };
    return { type: "refused", refusal };
  }
  return createLostResult(
    "no_answer",
    outcome === "unknown" ? trailer : undefined,
  );
}

const LOST_MESSAGES: Readonly<Record<LostReason, string>> = {
  connection_lost: "The connection to the endpoint broke",
  cut_off: "The endpoint's stream ended before its last event was complete",
  event_too_large: "The endpoint sent an event that is too large",
  no_answer: "The endpoint ended without an answer",
  not_continued: "Another endpoint did not continue the answer",
  protocol_error: "The endpoint's agent broke the protocol",
  wrong_digest: "The endpoint answered from a version that is not served",
};

function createLostResult(
  reason: LostReason,
  { code, message }: Pick<Trailer, "code" | "message"> = {},
): AttemptResult {
  return {
    type: "lost",
    refusal: {
      code: code ?? "connection_lost",
      message: message ?? LOST_MESSAGES[reason],
      reason,
      outcome: "unknown",
    },
  };
}
