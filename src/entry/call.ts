/**
 * One request of a caller while it is being answered. It ends early when the
 * caller leaves or the time is up; the agent's stream is then reset at once.
 */

import type { ClientAccount, Service } from "../document/mod.ts";
import type { Stream } from "../wire/mod.ts";
import type { CallerResponse } from "./caller_response.ts";
import { createKeptEvents } from "./kept_events.ts";
import type { KeptEvents } from "./kept_events.ts";
import type { MemoryPool } from "./memory_pool.ts";

export interface CallRequest {
  readonly requestId: string;
  readonly clientAccount: ClientAccount;
  readonly service: Service;
  readonly method: string;
  /** With the query. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  readonly repeatable: boolean;
  readonly fingerprint: string;
  /** Set if and only if the request is not repeatable. */
  readonly key?: { readonly text: string; readonly runner: string };
  readonly promptPrefix: string;
}

export type StopReason = "caller_left" | "deadline_exceeded";

export interface Call {
  readonly request: CallRequest;
  readonly caller: CallerResponse;
  /** What the caller has of an event stream. */
  readonly kept: KeptEvents;
  readonly remainingMs: () => number;
  readonly stopReason: () => StopReason | undefined;
  /** The stream to reset when the call stops. */
  setStream(stream: Stream): void;
  /** Time since the request or since the last token, for the metrics. */
  readonly takeLapMs: () => number;
  /** Also resets a stream that is still open. */
  close(): void;
}

export interface CallOptions {
  readonly caller: CallerResponse;
  readonly timeoutMs: number;
  readonly nowMs: () => number;
  /** Memory for the events of all callers. */
  readonly keptEventsPool: MemoryPool;
}

export function createCall(request: CallRequest, options: CallOptions): Call {
  const { caller, timeoutMs, nowMs, keptEventsPool } = options;
  const kept = createKeptEvents(keptEventsPool);
  const startedAtMs = nowMs();
  let lapAtMs = startedAtMs;
  let stream: Stream | undefined;
  let stopReason: StopReason | undefined;
  const timer = setTimeout(() => stop("deadline_exceeded"), timeoutMs);
  caller.onGone(() => stop("caller_left"));
  if (caller.isGone()) stop("caller_left");

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
    kept,
    remainingMs: () => Math.max(0, startedAtMs + timeoutMs - nowMs()),
    stopReason: () => stopReason,
    setStream(next) {
      stream = next;
      if (stopReason !== undefined) next.reset(stopReason);
    },
    takeLapMs() {
      const now = nowMs();
      const lapMs = now - lapAtMs;
      lapAtMs = now;
      return lapMs;
    },
    close() {
      clearTimeout(timer);
      // Nothing happens if both directions have ended.
      stream?.reset("finished");
      kept.close();
    },
  };
}
