/**
 * The HTTP server for callers: checks each request against the current
 * configuration, reads its body and dispatches it. It uses node:http directly
 * for its low cost per event, because each event of a stream passes through.
 */

import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { RoutingConfig } from "../directory/mod.ts";
import type { Call } from "./call.ts";
import { createCallerAnswer } from "./caller_answer.ts";
import { dispatchCall } from "./dispatch_call.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { readLimitedBody } from "./read_limited_body.ts";
import { sendRefusal, STATUS_NOT_RUN } from "./refusal.ts";
import type { Refusal } from "./refusal.ts";
import {
  chooseService,
  createRouteTable,
  normaliseHost,
  readPath,
} from "./route_table.ts";
import type { RouteTable } from "./route_table.ts";

/** Limit of the parser. The configured limit is checked for each request. */
const MAX_PARSED_HEADER_BYTES = 128 * 1024;
/** A starting entry has its configuration 50 to 250 ms after it listens. */
const NO_CONFIG_RETRY_MS = 200;
const STALE_CONFIG_RETRY_MS = 500;
/** API keys are refreshed about once a second. */
const STALE_KEYS_RETRY_MS = 700;
/**
 * Margin within the bound on revoked keys: the age of the API keys is checked
 * when the request head is read, and the request is accepted later.
 */
const REVOKE_MARGIN_MS = 300;
/** A new configuration has to be in effect within two seconds. */
const MAX_CONFIG_AGE_MS = 1_800;
const STALE_CONFIG: Refusal = {
  status: STATUS_NOT_RUN,
  reason: "stale_configuration",
  retryAfterMs: STALE_CONFIG_RETRY_MS,
};
/** Short, because another entry can accept the call at once. */
const LEAVING_RETRY_MS = 50;
/** While draining, idle connections are closed at this interval. */
const CLOSE_IDLE_MS = 100;
/** Until the first configuration sets it. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;

export interface FrontServer {
  listen(address: string): Promise<void>;
  /** Sends "connection: close" with all responses from now on. */
  startClosing(): void;
  /**
   * Refuses new calls, which could be cut off, and resolves when no call is in
   * progress.
   */
  drain(): Promise<void>;
  countCalls(): number;
  close(): void;
}

export function createFrontServer(context: GatewayContext): FrontServer {
  const { directory, registry, nowMs } = context;
  const refusals = registry.counter(
    "refused_requests_total",
    "Requests refused before dispatch, by reason",
  );
  let table: RouteTable | undefined;
  let state: "open" | "closing" | "draining" = "open";
  let idleTimer: NodeJS.Timeout | undefined;
  const responses = new Set<ServerResponse>();
  const drainHandlers: (() => void)[] = [];

  const server = createServer(
    {
      keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
      maxHeaderSize: MAX_PARSED_HEADER_BYTES,
      noDelay: true,
    },
    (request, response) => void accept(request, response),
  );
  // The deadline of the call limits slow bodies instead.
  server.requestTimeout = 0;

  function currentTable(): RouteTable | undefined {
    const config = directory.config();
    if (config === undefined) return undefined;
    if (table?.config !== config) {
      table = createRouteTable(config);
      applyLimits(server, config);
    }
    return table;
  }

  function findCall(request: IncomingMessage): Omit<Call, "body"> | Refusal {
    if (state === "draining") {
      return {
        status: STATUS_NOT_RUN,
        reason: "leaving",
        retryAfterMs: LEAVING_RETRY_MS,
      };
    }
    const current = currentTable();
    if (current === undefined) {
      return {
        status: STATUS_NOT_RUN,
        reason: "no_configuration",
        retryAfterMs: NO_CONFIG_RETRY_MS,
      };
    }
    const path = request.url ?? "/";
    const route = current.findRoute(
      normaliseHost(request.headers.host),
      readPath(path),
    );
    if (route === undefined) {
      return isConfigStale(context)
        ? STALE_CONFIG
        : { status: 404, reason: "no_route" };
    }
    if (countBytes(request.rawHeaders) > current.config.limits.maxHeaderBytes) {
      return { status: 431, reason: "headers_too_large" };
    }
    const headers = context.codec.readCall(request.headers);
    const needsKey =
      current.config.accounts !== undefined && !route.isAnonymous;
    const account =
      headers.apiKey === undefined
        ? undefined
        : current.findAccount(headers.apiKey);
    if (needsKey && isKeyKnowledgeStale(context)) {
      return {
        status: STATUS_NOT_RUN,
        reason: "stale_keys",
        retryAfterMs: STALE_KEYS_RETRY_MS,
      };
    }
    if (needsKey && account === undefined) {
      return isConfigStale(context)
        ? STALE_CONFIG
        : { status: 401, reason: "unknown_key" };
    }
    const receivedAtMs = nowMs();
    const waitMs = Math.min(
      headers.remainingMs ?? route.timeoutMs,
      route.timeoutMs,
    );
    return {
      id: headers.attemptId ?? "",
      method: request.method ?? "GET",
      path,
      rawHeaders: request.rawHeaders,
      headers,
      route,
      service: chooseService(route, context.random()) ?? "",
      account,
      configVersion: current.config.version,
      receivedAtMs,
      deadlineMs: receivedAtMs + waitMs,
    };
  }

  async function accept(request: IncomingMessage, response: ServerResponse) {
    responses.add(response);
    response.sendDate = false;
    if (state !== "open") askToClose(response);
    try {
      await handle(request, response);
    } catch (error) {
      context.logger.error({ err: error }, "failed to handle a request");
      response.socket?.destroy();
    } finally {
      responses.delete(response);
      if (responses.size === 0) drainHandlers.splice(0).forEach((f) => f());
    }
  }

  async function handle(request: IncomingMessage, response: ServerResponse) {
    const found = findCall(request);
    if ("status" in found) return refuse(request, response, found);
    const maxBytes = table!.config.limits.maxBodyBytes;
    const body = await readLimitedBody(request, maxBytes);
    if (body === "too_large") {
      return refuse(request, response, {
        status: 413,
        reason: "body_too_large",
      });
    }
    if (body === "incomplete") return;
    const answer = createCallerAnswer(response, context.codec);
    const dispatch = dispatchCall(context, { ...found, body }, answer);
    response.once("close", () => {
      if (response.writableFinished) return;
      context.logger.info({ id: found.id }, "the caller has left");
      dispatch.cancel();
    });
    await dispatch.done;
  }

  function refuse(
    request: IncomingMessage,
    response: ServerResponse,
    refusal: Refusal,
  ) {
    refusals.increment({ reason: refusal.reason });
    context.logger.info(
      {
        id: context.codec.readCall(request.headers).attemptId,
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
    listen: (address) => listen(server, address),
    startClosing() {
      state = "closing";
      responses.forEach(askToClose);
    },
    drain() {
      state = "draining";
      idleTimer = setInterval(
        () => server.closeIdleConnections(),
        CLOSE_IDLE_MS,
      );
      return new Promise((resolve) => {
        if (responses.size === 0) resolve();
        else drainHandlers.push(resolve);
      });
    },
    countCalls: () => responses.size,
    close() {
      clearInterval(idleTimer);
      server.close();
      server.closeAllConnections();
    },
  };
}

function askToClose(response: ServerResponse) {
  if (!response.headersSent) response.setHeader("connection", "close");
}

function applyLimits(server: Server, { limits }: RoutingConfig) {
  server.keepAliveTimeout = limits.idleTimeoutMs;
  server.headersTimeout = limits.headerTimeoutMs;
}

/** Clients do not retry a 404 or 401, so stale data must not lead to one. */
function isConfigStale({ directory }: GatewayContext): boolean {
  return directory.ageMs() > MAX_CONFIG_AGE_MS;
}

/** True if a key may have been revoked longer ago than `revokeMs` allows. */
export function isKeyKnowledgeStale(
  context: Pick<GatewayContext, "directory" | "bounds">,
): boolean {
  const { isRevocationStrict, revokeMs } = context.bounds;
  if (!isRevocationStrict) return false;
  return context.directory.ageMs() > revokeMs - REVOKE_MARGIN_MS;
}

function countBytes(rawHeaders: readonly string[]): number {
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}

function listen(server: Server, address: string): Promise<void> {
  const at = address.lastIndexOf(":");
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(Number(address.slice(at + 1)), address.slice(0, at), resolve);
  });
}
