/** One attempt at a request: one stream to one agent. */

import type { Peer, ResponseHead, Stream, Trailer } from "../wire/mod.ts";
import {
  createEventSink,
  createWholeSink,
  isEventStream,
} from "./answer_sink.ts";
import type { AnswerSink } from "./answer_sink.ts";
import type { Call } from "./call.ts";
import type { EntryMetrics } from "./entry_metrics.ts";
import type { Progress } from "./event_stream.ts";
import type { Refusal } from "./refusal.ts";

export type AttemptResult =
  | { readonly type: "answered" }
  /** The connection was closed before anything was written. */
  | { readonly type: "not_sent" }
  /** The agent refused before hand-off. */
  | { readonly type: "refused"; readonly refusal: Refusal }
  /** The request may have run. */
  | { readonly type: "lost"; readonly refusal: Refusal };

type LossReason =
  | "connection_lost"
  | "event_too_large"
  | "no_answer"
  | "not_continued"
  | "protocol_error"
  | "wrong_digest";

export interface AttemptOptions {
  readonly peer: Peer;
  readonly configVersion: number;
  readonly metrics: EntryMetrics;
  /** True if an answer of this digest may be passed on. */
  readonly isServedDigest: (digest: string) => boolean;
  /** True if an earlier attempt may have run. */
  readonly hasLostEndpoint: boolean;
  /** Set if the caller already has a part of the answer. */
  readonly continued?: Continued | undefined;
}

export interface Continued {
  readonly versionDigest: string;
  readonly progress: Progress;
}

export async function runAttempt(
  call: Call,
  options: AttemptOptions,
): Promise<AttemptResult> {
  const { request } = call;
  const { peer, configVersion, continued } = options;
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
    ...(request.key && { idempotencyKey: request.key.text }),
    ...(options.hasLostEndpoint && { hasLostEndpoint: true }),
    ...(continued && {
      versionDigest: continued.versionDigest,
      resume: {
        text: continued.progress.text,
        tokens: continued.progress.tokens,
      },
    }),
  });
  if (opened.isErr()) return { type: "not_sent" };
  const stream = opened.value;
  call.setStream(stream);
  void sendBody(stream, request.body);
  const result = await readAnswer(call, stream, options);
  // Nothing happens if both directions have ended.
  stream.reset(
    result.type === "lost" ? (result.refusal.reason ?? "lost") : "finished",
  );
  return result;
}

async function sendBody(stream: Stream, body: Buffer) {
  const written = await stream.write(body);
  if (written.isOk()) stream.end({ outcome: "answered" });
}

async function readAnswer(
  call: Call,
  stream: Stream,
  options: AttemptOptions,
): Promise<AttemptResult> {
  let sink: AnswerSink | undefined;
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
        if (sink !== undefined) return stop(createLost("protocol_error"));
        if (!hasServedDigest(message, options)) {
          return stop(createLost("wrong_digest"));
        }
        sink = createSink(call, message, options);
        return sink === undefined
          ? stop(createLost("not_continued"))
          : undefined;
      }
      case "data": {
        if (sink === undefined) return stop(createLost("protocol_error"));
        const waiting = sink.push(event.bytes);
        return typeof waiting === "string"
          ? stop(createLost(waiting))
          : waiting;
      }
      case "end":
        return stop(onEnd(event.trailer, sink));
      case "lost":
        return stop(createLost("connection_lost"));
    }
  });
  return result!;
}

function createSink(
  call: Call,
  head: ResponseHead,
  { metrics, continued }: AttemptOptions,
): AnswerSink | undefined {
  const isEvents = head.status === 200 && isEventStream(head);
  if (isEvents) {
    return createEventSink(call, head, {
      metrics,
      progress: continued?.progress,
    });
  }
  return continued === undefined ? createWholeSink(call, head) : undefined;
}

/** An error of the engine need not come from any version. */
function hasServedDigest(
  { status, versionDigest }: ResponseHead,
  { isServedDigest, continued }: AttemptOptions,
): boolean {
  if (versionDigest === undefined) return status >= 400 || isServedDigest("");
  if (continued !== undefined) return versionDigest === continued.versionDigest;
  return isServedDigest(versionDigest);
}

function onEnd(trailer: Trailer, sink: AnswerSink | undefined): AttemptResult {
  const { outcome, code, message, retryAfterMs } = trailer;
  if (outcome === "answered" && sink !== undefined) {
    sink.finish();
    return { type: "answered" };
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
  return createLost("no_answer", outcome === "unknown" ? trailer : undefined);
}

const LOSS_MESSAGES: Readonly<Record<LossReason, string>> = {
  connection_lost: "The connection to the endpoint broke",
  event_too_large: "The endpoint sent an event that is too large",
  no_answer: "The endpoint ended without an answer",
  not_continued: "Another endpoint did not continue the answer",
  protocol_error: "The endpoint's agent broke the protocol",
  wrong_digest: "The endpoint answered from a version that is not served",
};

function createLost(
  reason: LossReason,
  { code, message }: Pick<Trailer, "code" | "message"> = {},
): AttemptResult {
  return {
    type: "lost",
    refusal: {
      code: code ?? "connection_lost",
      message: message ?? LOSS_MESSAGES[reason],
      reason,
      outcome: "unknown",
    },
  };
}
