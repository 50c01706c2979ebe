/**
 * One request of a caller in flight. When the caller disconnects or the
 * deadline passes, it stops early and resets the agent's stream at once.
 */

import type { ClientAccount, Service } from "../document/mod.ts";
import type { Stream } from "../wire/mod.ts";
import type { CallerResponse } from "./caller_response.ts";
import { createSentEvents } from "./sent_events.ts";
import type { SentEvents } from "./sent_events.ts";
import type { MemoryPool } from "./memory_pool.ts";

export interface CallRequest {
  readonly requestId: string;
  readonly clientAccount: ClientAccount;
  readonly service: Service;
  readonly method: string;
  /** Includes the query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  readonly repeatable: boolean;
  readonly fingerprint: string;
  /** Set if and only if the request is not repeatable. */
  readonly idempotencyKey?: { readonly text: string; readonly runner: string };
  readonly promptPrefix: string;
}

export type StopReason = "caller_left" | "deadline_exceeded";

export interface Call {
  readonly request: CallRequest;
  readonly caller: CallerResponse;
  /** The events that were sent to the caller. */
  readonly sentEvents: SentEvents;
  readonly remainingMs: () => number;
  readonly stopReason: () => StopReason | undefined;
  /** The stream to reset when the call stops. */
  setStream(stream: Stream): void;
  /**
   * Time since the start or the previous call of this function, for the metrics
   * of token latency.
   */
  readonly measureIntervalMs: () => number;
  /** Also resets a stream that is still open. */
  close(): void;
}

export interface CallOptions {
  readonly caller: CallerResponse;
  readonly timeoutMs: number;
  readonly nowMs: () => number;
  /** Shared by the events of all callers. */
  readonly sentEventsPool: MemoryPool;
}

export function createCall(request: CallRequest, options: CallOptions): Call {
  const { caller, timeoutMs, nowMs, sentEventsPool } = options;
  const sentEvents = createSentEvents(sentEventsPool);
  const startedAtMs = nowMs();
  let intervalStartMs = startedAtMs;
  let stream: Stream | undefined;
  let stopReason: StopReason | undefined;
  const timer = setTimeout(() => stop("deadline_exceeded"), timeoutMs);
  caller.onDisconnect(() => stop("caller_left"));
  if (caller.isDisconnected()) stop("caller_left");

  function stop(reason: StopReason) {
    if (stopReason !== undefined) return;
    stopReason = reason;
    clearTimeout(timer);
    stream?.reset(reason);
    if (caller.isStalled()) caller.abort();
  }

  return {
    request,
    caller,
    sentEvents,
    remainingMs: () => Math.max(0, startedAtMs + timeoutMs - nowMs()),
    stopReason: () => stopReason,
    setStream(next) {
      stream = next;
      if (stopReason !== undefined) next.reset(stopReason);
    },
    measureIntervalMs() {
      const endMs = nowMs();
      const intervalMs = endMs - intervalStartMs;
      intervalStartMs = endMs;
      return intervalMs;
    },
    close() {
      clearTimeout(timer);
      // No effect if both directions have ended.
      stream?.reset("finished");
      sentEvents.close();
    },
  };
}
