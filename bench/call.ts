/** Sends requests as a caller of the system does and checks each response. */

import { Agent, request } from "undici";
import type { Dispatcher } from "undici";
import { createAnswerText } from "../stand_ins/answer_text.ts";
import { LEDGER_SERVICE, MODEL } from "./fleet_plan.ts";
import type { BenchAccount } from "./fleet_plan.ts";

export type CallOutcome =
  "answered_whole" | "not_run" | "unknown" | "wrong" | "cut";

export interface CallResult {
  readonly outcome: CallOutcome;
  /** Error code of the body, or how the response differs from the expected one. */
  readonly detail: string;
  readonly sentAtMs: number;
  readonly totalMs: number;
  readonly firstTokenMs?: number;
  readonly tokenGapsMs: readonly number[];
  readonly idempotencyKey?: string;
  /** Delay before a retry, as given by a refusal. */
  readonly retryAfterMs?: number;
}

export interface CompletionCall {
  readonly baseUrl: string;
  readonly account: BenchAccount;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Expected digest if the response names none (a direct call of an engine). */
  readonly defaultDigest?: string;
  readonly onFirstToken?: () => void;
}

const REQUEST_TIMEOUT_MS = 60_000;
const dispatcher = new Agent({
  connections: 2_048,
  headersTimeout: REQUEST_TIMEOUT_MS,
  bodyTimeout: REQUEST_TIMEOUT_MS,
});

export async function sendCompletion(
  call: CompletionCall,
): Promise<CallResult> {
  const startMs = performance.now();
  const sentAtMs = Date.now();
  const tokenGapsMs: number[] = [];
  let firstTokenMs: number | undefined;
  let lastMs = 0;

  function finish(outcome: CallOutcome, detail: string): CallResult {
    const totalMs = performance.now() - startMs;
    const base = { outcome, detail, sentAtMs, totalMs, tokenGapsMs };
    return firstTokenMs === undefined ? base : { ...base, firstTokenMs };
  }

  let text = "";
  let unparsed = "";
  let isDone = false;
  let errorEvent: ErrorBody | undefined;
  function onEvent(event: string) {
    const data = /^data: (.*)$/m.exec(event)?.[1] ?? "";
    if (/^event: error$/m.test(event)) {
      errorEvent = JSON.parse(data) as ErrorBody;
    } else if (data === "[DONE]") isDone = true;
    else if (data !== "") {
      const chunk = JSON.parse(data) as { choices: [{ text: string }] };
      text += chunk.choices[0].text;
    }
  }

  try {
    const response = await postCompletion(call, {
      model: MODEL,
      prompt: call.prompt,
      max_tokens: call.maxTokens,
      stream: true,
    });
    if (response.statusCode !== 200) {
      const error = await readError(response);
      const result = finish(classifyError(error, response), error.code);
      const retryAfterMs = error.retry_after_ms;
      return retryAfterMs === null ? result : { ...result, retryAfterMs };
    }
    const namedDigest = response.headers["zinniaspur-model-digest"];
    const versionDigest = namedDigest ?? call.defaultDigest;
    for await (const bytes of response.body) {
      const nowMs = performance.now();
      if (firstTokenMs === undefined) {
        firstTokenMs = nowMs - startMs;
        call.onFirstToken?.();
      } else tokenGapsMs.push(nowMs - lastMs);
      lastMs = nowMs;
      const events = (unparsed + String(bytes)).split("\n\n");
      unparsed = events.pop() ?? "";
      events.forEach(onEvent);
    }
    if (errorEvent !== undefined) {
      const { outcome, code } = errorEvent.error;
      return finish(outcome === "unknown" ? "unknown" : "wrong", code);
    }
    if (!isDone) return finish("cut", "no end mark");
    const expected = createAnswerText(
      { prompt: call.prompt, versionDigest: String(versionDigest) },
      call.maxTokens,
    );
    return text === expected
      ? finish("answered_whole", "")
      : finish("wrong", describeDifference(text, expected));
  } catch (error) {
    return finish("cut", String(error));
  }
}

export interface BookingCall {
  readonly baseUrl: string;
  readonly account: BenchAccount;
  readonly idempotencyKey: string;
}

/** Requests a key from an entry; undefined if the entry refused. */
export async function requestIdempotencyKey(
  baseUrl: string,
  account: BenchAccount,
): Promise<string | undefined> {
  const { statusCode, body } = await request(`${baseUrl}/v1/idempotency-keys`, {
    method: "POST",
    dispatcher,
    headers: {
      authorization: `Bearer ${account.apiKey}`,
      "content-type": "application/json",
    },
    body: JSON.stringify({ service: LEDGER_SERVICE }),
  });
  const json = (await body.json()) as { key?: string };
  return statusCode < 300 ? json.key : undefined;
}

export async function sendBooking(call: BookingCall): Promise<CallResult> {
  const startMs = performance.now();
  const sentAtMs = Date.now();
  const { idempotencyKey } = call;

  function finish(outcome: CallOutcome, detail: string): CallResult {
    const totalMs = performance.now() - startMs;
    return {
      outcome,
      detail,
      sentAtMs,
      totalMs,
      tokenGapsMs: [],
      idempotencyKey,
    };
  }

  try {
    const response = await request(`${call.baseUrl}/services/ledger/bookings`, {
      method: "POST",
      dispatcher,
      headers: {
        authorization: `Bearer ${call.account.apiKey}`,
        "content-type": "application/json",
        "idempotency-key": idempotencyKey,
      },
      body: JSON.stringify({ order: idempotencyKey }),
    });
    if (response.statusCode !== 200) {
      const error = await readError(response);
      return finish(classifyError(error, response), error.code);
    }
    const body = (await response.body.json()) as {
      booked: { order: string };
    };
    return body.booked.order === idempotencyKey
      ? finish("answered_whole", "")
      : finish("wrong", "answer of another booking");
  } catch (error) {
    return finish("cut", String(error));
  }
}

interface ErrorBody {
  readonly error: {
    readonly code: string;
    readonly outcome: string;
    readonly retry_after_ms: number | null;
  };
}

function postCompletion(call: CompletionCall, body: unknown) {
  return request(`${call.baseUrl}/v1/completions`, {
    method: "POST",
    dispatcher,
    headers: {
      authorization: `Bearer ${call.account.apiKey}`,
      "content-type": "application/json",
    },
    body: JSON.stringify(body),
  });
}

async function readError(response: Dispatcher.ResponseData) {
  const body = (await response.body.json()) as ErrorBody;
  return body.error;
}

/** A 429 or 503 response without Retry-After counts as wrong. */
function classifyError(
  error: ErrorBody["error"],
  response: Dispatcher.ResponseData,
): CallOutcome {
  if (error.outcome === "unknown") return "unknown";
  if (error.outcome !== "not_run") return "wrong";
  const isRefusal = [429, 503].includes(response.statusCode);
  const hasRetryAfter = response.headers["retry-after"] !== undefined;
  return isRefusal && !hasRetryAfter ? "wrong" : "not_run";
}

function describeDifference(text: string, expected: string): string {
  const index = [...expected].findIndex(
    (character, index) => character !== text[index],
  );
  return `differs at ${index} of ${expected.length}, got ${text.length}`;
}
