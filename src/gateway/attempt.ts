/**
 * One request to one endpoint. Responses other than event streams are buffered
 * completely, so that a broken one can be retried; events of a stream are
 * passed on as they arrive.
 */

import type { Dispatcher } from "undici";
import {
  hasCloseDelimitedBody,
  isFinalStatus,
  isInformationalStatus,
} from "../http/mod.ts";
import type { HttpHeaders } from "../http/mod.ts";
import type { BufferBudget } from "./buffer_budget.ts";
import type { HeaderCodec } from "./call.ts";
import type { ResponseHeaders } from "./call.ts";
import type { EndpointConnections } from "./endpoint_connections.ts";
import { createEventSplitter } from "./event_splitter.ts";
import type { CompleteEvents } from "./event_splitter.ts";

/** Limit of a buffered response; none of this size is expected. */
const MAX_BUFFERED_BYTES = 16 * 1024 * 1024;
/**
 * An event holds a few tokens, some hundred bytes. A faulty endpoint can send
 * bytes endlessly without completing an event.
 */
const MAX_EVENT_BYTES = 256 * 1024;

export type AttemptOutcome =
  /** The request did not reach the endpoint. */
  | { readonly type: "not_sent"; readonly reason: string }
  /** The endpoint states that it did not run the request. */
  | { readonly type: "not_run"; readonly status: number }
  /** A complete response of any status, or a complete stream. */
  | {
      readonly type: "answered";
      readonly status: number;
      readonly headers: HttpHeaders;
      /** Undefined if the body was passed on as events. */
      readonly body: Buffer | undefined;
    }
  /** The request may have run; the response is missing or incomplete. */
  | {
      readonly type: "lost";
      readonly reason: string;
      /** True if the endpoint may have crashed while it ran the request. */
      readonly mayHaveCrashed?: boolean;
    }
  /** Aborted by this entry. */
  | { readonly type: "aborted" };

export interface AttemptOptions {
  readonly connections: EndpointConnections;
  readonly codec: HeaderCodec;
  readonly address: string;
  readonly attemptId: string | undefined;
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: Buffer;
  readonly needsNewConnection: boolean;
  /** The attempt fails if no byte of the response arrives in this time. */
  readonly firstByteTimeoutMs: number;
  /** Time without any byte after which `onSilence` is called. */
  readonly silence: {
    readonly beforeFirstByteMs: number;
    readonly betweenBytesMs: number;
  };
  /** Called again and again while the silence lasts. */
  readonly onSilence: () => void;
  /**
   * Called when the connection is open. A reason keeps the request from being
   * sent.
   */
  readonly findSendObstacle: () => string | undefined;
  readonly isStream: boolean;
  readonly buffers: BufferBudget;
  /** True while the caller reads more slowly than the endpoint sends. */
  readonly isCongested: () => boolean;
  /** Calls the handler once, when the caller has read what it was sent. */
  readonly onDrained: (handler: () => void) => void;
  /**
   * Called when a response without length ends with its connection; false if it
   * may have been cut off.
   */
  readonly confirmEnd: (end: ResponseEnd) => Promise<boolean>;
  /**
   * Called when the endpoint closes the connection before the response is
   * complete; false if the endpoint runs on.
   */
  readonly mayHaveCrashed: () => Promise<boolean>;
  /**
   * Called with the complete events of a stream, after `onHead`. False ends the
   * attempt: the events do not continue those of an earlier one.
   */
  readonly onEvents: (events: CompleteEvents, head: StreamHead) => boolean;
  readonly onHead: (status: number, headers: ResponseHeaders) => void;
  /**
   * Called once with the first byte of the body: the request has started. The
   * head alone does not show that.
   */
  readonly onStart: () => void;
}

export interface ResponseEnd {
  readonly isEventStream: boolean;
  /** True if the response ended after its head. */
  readonly isEmpty: boolean;
}

export interface StreamHead {
  readonly status: number;
  readonly headers: HttpHeaders;
}

export interface Attempt {
  readonly outcome: Promise<AttemptOutcome>;
  /** Size of the response body received so far. */
  receivedBytes(): number;
  abort(): void;
  /** Ends the attempt if it has not been sent yet. */
  withdraw(reason: string): void;
  /** Ends the attempt because the endpoint is known to be gone. */
  fail(reason: string): void;
}

/** The endpoint has closed the connection: it may have crashed. */
const CLOSE_REASONS: ReadonlySet<string> = new Set([
  "ECONNRESET",
  "UND_ERR_SOCKET",
]);
const CUT_OFF_REASON = "cut_off";
const INVALID_STATUS_REASON = "invalid_status";
const STATUS_MISDIRECTED = 421;
const SILENCE_CHECK_INTERVAL_MS = 100;

export function startAttempt(options: AttemptOptions): Attempt {
  const { connections, codec, address } = options;
  const acquired = connections.acquire(address, options);
  if (acquired.isErr()) return createUnsentAttempt(acquired.error);
  const connection = acquired.value;
  const { client } = connection;
  let resolveOutcome: (outcome: AttemptOutcome) => void;
  const outcome = new Promise<AttemptOutcome>(
    (resolve) => (resolveOutcome = resolve),
  );
  let isFinished = false;
  let isSent = false;
  let head: StreamHead | undefined;
  let isEventStream = false;
  let isCloseDelimited = false;
  let receivedBytes = 0;
  const bodyChunks: Buffer[] = [];
  const splitter = createEventSplitter();
  const share = options.buffers.open(() => onTooLarge("buffers_full"));
  const firstByteTimer = setTimeout(onTimeout, options.firstByteTimeoutMs);
  let silenceTimer = setTimeout(onSilence, options.silence.beforeFirstByteMs);
  let inactivityTimer: NodeJS.Timeout | undefined;

  function finish(result: AttemptOutcome, isReusable: boolean) {
    if (isFinished) return;
    isFinished = true;
    clearTimers();
    share.close();
    if (isReusable) connections.release(address, connection);
    else void client.destroy();
    resolveOutcome(result);
  }

  function clearTimers() {
    clearTimeout(firstByteTimer);
    clearTimeout(silenceTimer);
    clearTimeout(inactivityTimer);
    inactivityTimer = undefined;
  }

  function onTooLarge(reason: "too_large" | "buffers_full") {
    bodyChunks.splice(0);
    finish({ type: "lost", reason }, false);
  }

  function onTimeout() {
    if (!isSent) return finish({ type: "not_sent", reason: "silent" }, false);
    const reason = head === undefined ? "no_answer" : "silent";
    finish({ type: "lost", reason }, false);
  }

  function onSilence() {
    // Opening a connection has a timeout of its own.
    if (isSent) options.onSilence();
    if (isFinished) return;
    silenceTimer = setTimeout(onSilence, SILENCE_CHECK_INTERVAL_MS);
  }

  function onActivity() {
    clearTimeout(firstByteTimer);
    clearTimeout(silenceTimer);
    if (inactivityTimer !== undefined) inactivityTimer.refresh();
    else {
      inactivityTimer = setTimeout(onSilence, options.silence.betweenBytesMs);
    }
  }

  function onHeaders(status: number, headers: HttpHeaders) {
    const responseHeaders = codec.readResponseHeaders(headers);
    if (responseHeaders.attemptId !== options.attemptId) {
      // A late response to an earlier request on this connection.
      return finish({ type: "lost", reason: "foreign_answer" }, false);
    }
    onActivity();
    options.onHead(status, responseHeaders);
    if (status === STATUS_MISDIRECTED || responseHeaders.isMarkedNotRun) {
      return finish({ type: "not_run", status }, false);
    }
    head = { status, headers };
    isEventStream =
      options.isStream && status === 200 && mayBeEventStream(headers);
    isCloseDelimited = hasCloseDelimitedBody({
      method: options.method,
      status,
      headers,
    });
  }

  function onData(bytes: Buffer) {
    if (isFinished) return;
    onActivity();
    if (receivedBytes === 0) options.onStart();
    receivedBytes += bytes.length;
    if (!isEventStream) {
      if (receivedBytes > MAX_BUFFERED_BYTES) return onTooLarge("too_large");
      bodyChunks.push(bytes);
      return share.hold(receivedBytes);
    }
    const events = splitter.push(bytes);
    if (events !== undefined && !options.onEvents(events, head!)) {
      return finish({ type: "lost", reason: "not_continued" }, false);
    }
    const remainingBytes = splitter.remainder().length;
    if (remainingBytes > MAX_EVENT_BYTES) return onTooLarge("too_large");
    share.hold(remainingBytes);
  }

  /** Passes the caller's pace on to the endpoint, which is not silent then. */
  function pauseIfCongested(controller: Dispatcher.DispatchController) {
    if (isFinished || !options.isCongested()) return;
    controller.pause();
    clearTimers();
    options.onDrained(() => {
      if (isFinished) return;
      onActivity();
      controller.resume();
    });
  }

  function onEnd() {
    if (head === undefined) return;
    // A reset also ends a response without length, but does not complete it.
    const isBroken = isCloseDelimited && !connection.hasClosedCleanly();
    if (isBroken || splitter.remainder().length > 0) {
      return onClosedEarly(CUT_OFF_REASON);
    }
    if (!isCloseDelimited) return complete(head, true);
    clearTimers();
    void options
      .confirmEnd({ isEventStream, isEmpty: receivedBytes === 0 })
      .then((isConfirmed) =>
        isConfirmed ? complete(head!, false) : onClosedEarly(CUT_OFF_REASON),
      );
  }

  function onClosedEarly(reason: string) {
    clearTimers();
    void options
      .mayHaveCrashed()
      .then((mayHaveCrashed) =>
        finish({ type: "lost", reason, mayHaveCrashed }, false),
      );
  }

  function complete({ status, headers }: StreamHead, isReusable: boolean) {
    const body = isEventStream ? undefined : Buffer.concat(bodyChunks);
    finish({ type: "answered", status, headers, body }, isReusable);
  }

  function onError(error: Error) {
    const reason = (error as NodeJS.ErrnoException).code ?? error.message;
    if (isSent && CLOSE_REASONS.has(reason)) return onClosedEarly(reason);
    const type = isSent ? "lost" : "not_sent";
    finish({ type, reason }, false);
  }

  client.dispatch(
    {
      method: options.method as Dispatcher.HttpMethod,
      path: options.path,
      headers: options.headers,
      body: options.body.length > 0 ? options.body : null,
    },
    {
      onRequestStart(controller) {
        const obstacle = options.findSendObstacle();
        if (obstacle === undefined) {
          isSent = true;
          return;
        }
        finish({ type: "not_sent", reason: obstacle }, false);
        controller.abort(new Error(obstacle));
      },
      onResponseStart(_controller, status, headers) {
        if (isInformationalStatus(status)) return;
        if (isFinalStatus(status)) return onHeaders(status, headers);
        finish({ type: "lost", reason: INVALID_STATUS_REASON }, false);
      },
      onResponseData(controller, bytes) {
        onData(bytes);
        pauseIfCongested(controller);
      },
      onResponseEnd: onEnd,
      onResponseError: (_controller, error) => onError(error),
    },
  );

  return {
    outcome,
    receivedBytes: () => receivedBytes,
    abort: () => finish({ type: "aborted" }, false),
    withdraw(reason) {
      if (!isSent) finish({ type: "not_sent", reason }, false);
    },
    fail: (reason) =>
      finish({ type: isSent ? "lost" : "not_sent", reason }, false),
  };
}

/** An attempt without a connection. */
function createUnsentAttempt(reason: string): Attempt {
  return {
    outcome: Promise.resolve({ type: "not_sent", reason }),
    receivedBytes: () => 0,
    abort: () => undefined,
    withdraw: () => undefined,
    fail: () => undefined,
  };
}

/** Other bodies on a stream route, such as an error's, contain no events. */
function mayBeEventStream({ "content-type": type }: HttpHeaders): boolean {
  return type === undefined || /^text\/event-stream\b/i.test(String(type));
}
