/**
 * The HTTP server for callers: checks each request against the current
 * configuration, reads its body and dispatches it. It uses node:http directly
 * for its low cost per event, because each event of a stream passes through.
 */

import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { RoutingConfig } from "../directory/mod.ts";
import type { BufferShare } from "./buffer_budget.ts";
import type { Call } from "./call.ts";
import { createCallerResponse } from "./caller_response.ts";
import { createConnectionOrder } from "./connection_order.ts";
import { listenAt } from "../http/mod.ts";
import { dispatchCall } from "./dispatch_call.ts";
import type { Dispatch } from "./dispatch_call.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { readLimitedBody } from "./read_limited_body.ts";
import type { BodyFailure } from "./read_limited_body.ts";
import { readPendingEvents } from "./read_pending_events.ts";
import { createResponseMonitor } from "./response_monitor.ts";
import {
  sendRefusal,
  STATUS_NOT_RUN,
  STATUS_OUTCOME_UNKNOWN,
  STATUS_REQUEST_TIMEOUT,
} from "./refusal.ts";
import type { Refusal } from "./refusal.ts";
import { resolveCall } from "./resolve_call.ts";
import { computeResponseTimeMs } from "./response_time.ts";
import { createRouteTable } from "./route_table.ts";
import type { RouteTable } from "./route_table.ts";

/** Limit of the parser. The configured limit is checked for each request. */
const MAX_PARSED_HEADER_BYTES = 128 * 1024;
/** Short, because another entry can accept the call at once. */
const LEAVING_RETRY_MS = 50;
const LEAVING: Refusal = {
  status: STATUS_NOT_RUN,
  reason: "leaving",
  retryAfterMs: LEAVING_RETRY_MS,
};
/** Another entry may not have the fault. */
const FAILED_RETRY_MS = 300;
/** The bodies of other calls are dropped or complete by then. */
const BUFFERS_FULL_RETRY_MS = 500;
const BODY_REFUSALS: Readonly<
  Record<Exclude<BodyFailure, "incomplete">, Refusal>
> = {
  too_large: { status: 413, reason: "body_too_large" },
  too_slow: { status: STATUS_REQUEST_TIMEOUT, reason: "body_too_slow" },
  buffers_full: {
    status: STATUS_NOT_RUN,
    reason: "buffers_full",
    retryAfterMs: BUFFERS_FULL_RETRY_MS,
  },
};
/** While draining, idle connections are closed at this interval. */
const CLOSE_IDLE_INTERVAL_MS = 100;
/** Until the first configuration sets it. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
/** As in Node.js: a request may be on its way when the timeout ends. */
const IDLE_TIMEOUT_MARGIN_MS = 1_000;

export interface CallerServer {
  listen(address: string): Promise<void>;
  /**
   * Sends "connection: close" with all responses from now on, and refuses
   * requests that may not be answered before `answerByMs`.
   */
  startClosing(answerByMs?: number): void;
  /**
   * Refuses new calls, which could be cut off, and resolves when no call is in
   * progress.
   */
  drain(): Promise<void>;
  /** Responds to each call in progress; streams that have begun are cut. */
  endCalls(): void;
  countCalls(): number;
  close(): void;
}

interface OpenCall {
  readonly request: IncomingMessage;
  /** Closed when the call has ended. */
  readonly shares: BufferShare[];
  dispatch: Dispatch | undefined;
}

export function createCallerServer(context: GatewayContext): CallerServer {
  const { directory, registry } = context;
  const refusals = registry.counter(
    "refused_requests_total",
    "Requests refused before dispatch, by reason",
  );
  const monitor = createResponseMonitor(context);
  const order = createConnectionOrder();
  let routeTable: RouteTable | undefined;
  let state: "open" | "closing" | "draining" = "open";
  let idleTimer: NodeJS.Timeout | undefined;
  let answerByMs = Infinity;
  const openCalls = new Map<ServerResponse, OpenCall>();
  const drainHandlers: (() => void)[] = [];

  const server = createServer(
    {
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      maxHeaderSize: MAX_PARSED_HEADER_BYTES,
      noDelay: true,
    },
    (request, response) => {
      handleRequest(request, response).catch((error: unknown) => {
        context.logger.fatal({ err: error }, "failed to end a request");
        removeCall(response);
        request.socket.destroy();
      });
    },
  );
  // The deadline of the call limits slow bodies.
  server.requestTimeout = 0;
  // Before the next request, whose response announces the idle timeout.
  directory.onChange(() => void getRouteTable());

  function getRouteTable(): RouteTable | undefined {
    const config = directory.config();
    if (config === undefined) return undefined;
    if (routeTable?.config !== config) {
      routeTable = createRouteTable(config);
      applyLimits(server, config);
    }
    return routeTable;
  }

  async function handleRequest(
    request: IncomingMessage,
    response: ServerResponse,
  ) {
    const openCall: OpenCall = { request, shares: [], dispatch: undefined };
    openCalls.set(response, openCall);
    response.sendDate = false;
    if (state !== "open") setConnectionClose(response);
    const readId = () => readAttemptId(request);
    const announcedIdleMs = server.keepAliveTimeout;
    const ended = monitor.watch({
      request,
      response,
      readId,
      onUnfinished: () => openCall.dispatch?.cancel(),
    });
    const turn = order.enter({ request, response, ended });
    try {
      openCall.dispatch = await acceptCall({ openCall, response, turn });
      await openCall.dispatch?.done;
    } catch (error) {
      context.logger.error(
        { id: readId(), err: error },
        "failed to handle a request",
      );
      const mayHaveRun = openCall.dispatch !== undefined;
      endFailed({ request, response, mayHaveRun });
    }
    await ended;
    keepAnnounced(response, announcedIdleMs);
    removeCall(response);
  }

  function removeCall(response: ServerResponse) {
    openCalls.get(response)?.shares.forEach((share) => share.close());
    openCalls.delete(response);
    if (openCalls.size === 0) drainHandlers.splice(0).forEach((f) => f());
  }

  /** For log lines, also of a request whose headers could not be read. */
  function readAttemptId({ headers }: IncomingMessage): string | undefined {
    try {
      return context.codec.readCallHeaders(headers).attemptId;
    } catch {
      return undefined;
    }
  }

  /**
   * Node.js sets the idle timeout in force when the response is complete, which
   * can be shorter than the one that the response announced.
   */
  function keepAnnounced(response: ServerResponse, idleMs: number) {
    if (order.isLast(response) && idleMs > server.keepAliveTimeout) {
      response.req.socket.setTimeout(idleMs + IDLE_TIMEOUT_MARGIN_MS);
    }
  }

  function endFailed({
    request,
    response,
    mayHaveRun,
  }: {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly mayHaveRun: boolean;
  }) {
    if (response.headersSent) {
      monitor.noteClose(request, "failed");
      response.socket?.destroy();
      return;
    }
    const refusal = mayHaveRun
      ? { status: STATUS_OUTCOME_UNKNOWN }
      : { status: STATUS_NOT_RUN, retryAfterMs: FAILED_RETRY_MS };
    refuse(request, response, { ...refusal, reason: "failed" });
  }

  function closeIdleConnections() {
    // Node.js counts a connection as idle while an answer is still being sent.
    const isSending = [...openCalls.keys()].some((r) => r.writableEnded);
    if (!isSending) server.closeIdleConnections();
  }

  /**
   * Returns undefined if the request is refused, or its connection closed
   * before it could be sent.
   */
  async function acceptCall({
    openCall: { request, shares },
    response,
    turn,
  }: {
    readonly openCall: OpenCall;
    readonly response: ServerResponse;
    readonly turn: Promise<void>;
  }): Promise<Dispatch | undefined> {
    const resolved =
      state === "draining"
        ? LEAVING
        : resolveCall(context, { request, routeTable: getRouteTable() });
    if ("status" in resolved) {
      refuse(request, response, resolved);
      return undefined;
    }
    if (isTooLate(resolved)) {
      refuse(request, response, LEAVING);
      return undefined;
    }
    const read = await readLimitedBody(request, {
      maxBytes: routeTable!.config.limits.maxBodyBytes,
      timeoutMs: resolved.deadlineMs - context.nowMs(),
      buffers: context.requestBuffers,
    });
    if (read.type === "incomplete") return undefined;
    if (read.type !== "complete") {
      refuse(request, response, BODY_REFUSALS[read.type]);
      return undefined;
    }
    const { body, share } = read;
    shares.push(share);
    await turn;
    await readPendingEvents();
    // While it was waiting, the call may have been ended for a shutdown.
    if (!request.socket.writable || response.headersSent) return undefined;
    // The body, or the response ahead, may have taken long.
    if (isTooLate(resolved)) {
      refuse(request, response, LEAVING);
      return undefined;
    }
    const callerResponse = createCallerResponse({
      response,
      codec: context.codec,
      openShare(end) {
        const unread = context.responseBuffers.open(end);
        shares.push(unread);
        return unread;
      },
      onAbort: (reason) => monitor.noteClose(request, reason),
    });
    return dispatchCall(context, { ...resolved, body }, callerResponse);
  }

  /** True if the call may not be answered before this process ends. */
  function isTooLate(call: Omit<Call, "body">): boolean {
    if (answerByMs === Infinity) return false;
    const service = directory
      .config()
      ?.services.find(({ name }) => name === call.service);
    const nowMs = context.nowMs();
    return nowMs + computeResponseTimeMs(call, service, nowMs) > answerByMs;
  }

  function refuse(
    request: IncomingMessage,
    response: ServerResponse,
    refusal: Refusal,
  ) {
    refusals.increment({ reason: refusal.reason });
    context.logger.info(
      {
        id: readAttemptId(request),
        requestHost: request.headers.host,
        path: request.url,
        configVersion: directory.config()?.version,
        directoryAgeMs: Math.round(directory.ageMs()),
        ...refusal,
      },
      "request refused",
    );
    request.resume();
    sendRefusal(response, refusal);
  }

  return {
    listen: (address) => listenAt(server, address),
    startClosing(atMs = Infinity) {
      state = "closing";
      answerByMs = atMs;
      [...openCalls.keys()].filter(order.isLast).forEach(setConnectionClose);
    },
    drain() {
      state = "draining";
      idleTimer = setInterval(closeIdleConnections, CLOSE_IDLE_INTERVAL_MS);
      return new Promise((resolve) => {
        if (openCalls.size === 0) resolve();
        else drainHandlers.push(resolve);
      });
    },
    endCalls() {
      openCalls.forEach(({ request, dispatch }, response) => {
        if (dispatch !== undefined) dispatch.endForShutdown();
        else if (!response.headersSent) refuse(request, response, LEAVING);
      });
    },
    countCalls: () => openCalls.size,
    close() {
      clearInterval(idleTimer);
      openCalls.forEach(({ request }) =>
        monitor.noteClose(request, "shutdown"),
      );
      server.close();
      server.closeAllConnections();
    },
  };
}

function setConnectionClose(response: ServerResponse) {
  if (!response.headersSent) response.setHeader("connection", "close");
}

function applyLimits(server: Server, { limits }: RoutingConfig) {
  server.keepAliveTimeout = limits.idleTimeoutMs;
  server.headersTimeout = limits.headerTimeoutMs;
}
