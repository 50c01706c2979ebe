/**
 * HTTP client of the agent's endpoint. Failures tell whether any byte of the
 * request may have reached the endpoint.
 */

import { connect } from "node:net";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { Pool } from "undici";
import type { Dispatcher } from "undici";
import { dispatchRequest } from "./dispatch_request.ts";
import { HOP_BY_HOP_HEADERS, hasCloseDelimitedBody } from "../http/mod.ts";
import { parseEngineState } from "./engine_state.ts";
import type { EngineState, Fencing } from "./engine_state.ts";

const CONTROL_TIMEOUT_MS = 1_000;
const CANCEL_TIMEOUT_MS = 2_000;
const ORDER_TIMEOUT_MS = 5_000;

export interface EndpointRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly signal: AbortSignal;
  /**
   * Called after the connection is made, in the event-loop iteration that writes
   * the first byte, so that no request is sent late after a pause while
   * connecting.
   */
  readonly isWriteAllowed?: () => boolean;
  /**
   * If false, uses a new connection, because an idle one that the endpoint
   * closes at the same time would leave the outcome unknown.
   */
  readonly isRepeatable: boolean;
}

export interface EndpointResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  /** False if a complete body looks the same as a broken connection. */
  readonly isDelimited: boolean;
  /** Iteration throws if the connection breaks. */
  readonly body: AsyncIterable<Uint8Array>;
}

export interface EndpointFailure {
  /** False if no byte can have reached the endpoint. */
  readonly mayHaveRun: boolean;
  readonly reason: string;
}

export interface LoadOrder {
  readonly model: string;
  readonly versionDigest: string;
  readonly sourceUrl: string;
  readonly fencing: Fencing;
}

export type LoadOrderResult = "accepted" | "fenced" | "failed";

export interface EndpointClient {
  send(
    request: EndpointRequest,
  ): Promise<Result<EndpointResponse, EndpointFailure>>;
  readState(): Promise<Result<EngineState, string>>;
  /** Resolves with true if a TCP connection to the endpoint can be opened. */
  canConnect(): Promise<boolean>;
  /** Resolves with true if the engine has confirmed the cancellation. */
  cancel(requestId: string): Promise<boolean>;
  sendLoadOrder(order: LoadOrder): Promise<LoadOrderResult>;
  close(): Promise<void>;
}

export function createEndpointClient(endpointUrl: string): EndpointClient {
  const { origin, hostname, port, protocol, pathname } = new URL(endpointUrl);
  const prefix = pathname.replace(/\/$/, "");
  const timeouts = { headersTimeout: 0, bodyTimeout: 0 };
  const pool = new Pool(origin, timeouts);
  const singleUsePool = new Pool(origin, { ...timeouts, pipelining: 0 });

  async function callEngine(
    path: string,
    options: { timeoutMs: number; method?: "GET" | "POST"; body?: unknown },
  ) {
    const { timeoutMs, method = "GET", body } = options;
    const response = await pool.request({
      path: prefix + path,
      method,
      signal: AbortSignal.timeout(timeoutMs),
      ...(body === undefined
        ? {}
        : {
            body: JSON.stringify(body),
            headers: { "content-type": "application/json" },
          }),
    });
    return { status: response.statusCode, text: await response.body.text() };
  }

  return {
    async send(request) {
      const { method, path, headers, body, signal, isRepeatable } = request;
      let hasStarted = false;
      const target = isRepeatable ? pool : singleUsePool;
      try {
        const response = await dispatchRequest(target, {
          method: method as Dispatcher.HttpMethod,
          path: prefix + path,
          headers: selectRequestHeaders(headers),
          body: body.length === 0 ? null : body,
          signal,
          onStart() {
            hasStarted = request.isWriteAllowed?.() ?? true;
            return hasStarted;
          },
        });
        const responseHeaders = flattenHeaders(response.headers);
        return ok({
          status: response.statusCode,
          headers: removeHopHeaders(responseHeaders),
          isDelimited: !hasCloseDelimitedBody({
            method,
            status: response.statusCode,
            headers: responseHeaders,
          }),
          body: response.body,
        });
      } catch (error) {
        const code = readErrorCode(error);
        const isInvalid = !hasStarted && code === "UND_ERR_INVALID_ARG";
        const reason = isInvalid ? "invalid_request" : code;
        return err({ reason, mayHaveRun: hasStarted });
      }
    },
    async readState() {
      try {
        const { status, text } = await callEngine("/v1/state", {
          timeoutMs: CONTROL_TIMEOUT_MS,
        });
        const state =
          status === 200 ? parseEngineState(JSON.parse(text)) : undefined;
        return state === undefined ? err("malformed_state") : ok(state);
      } catch (error) {
        return err(readErrorCode(error));
      }
    },
    canConnect() {
      return new Promise((resolve) => {
        const socket = connect({
          host: hostname,
          port: Number(port) || (protocol === "https:" ? 443 : 80),
          timeout: CONTROL_TIMEOUT_MS,
        });
        function settle(value: boolean) {
          socket.destroy();
          resolve(value);
        }
        socket.once("connect", () => settle(true));
        socket.once("error", () => settle(false));
        socket.once("timeout", () => settle(false));
      });
    },
    async cancel(requestId) {
      try {
        const path = `/v1/requests/${encodeURIComponent(requestId)}/cancel`;
        const { status } = await callEngine(path, {
          method: "POST",
          timeoutMs: CANCEL_TIMEOUT_MS,
        });
        // 404 means that the engine has already finished the request.
        return status < 300 || status === 404;
      } catch {
        return false;
      }
    },
    async sendLoadOrder({ model, versionDigest, sourceUrl, fencing }) {
      try {
        const { status } = await callEngine("/v1/orders/load", {
          method: "POST",
          timeoutMs: ORDER_TIMEOUT_MS,
          body: {
            model,
            version_digest: versionDigest,
            source_url: sourceUrl,
            fencing,
          },
        });
        if (status === 409) return "fenced";
        return status === 202 ? "accepted" : "failed";
      } catch {
        return "failed";
      }
    },
    async close() {
      await Promise.all([pool.destroy(), singleUsePool.destroy()]);
    },
  };
}

function selectRequestHeaders(headers: Readonly<Record<string, string>>) {
  const { "content-length": _length, ...rest } = removeHopHeaders(headers);
  return rest;
}

function removeHopHeaders(
  headers: Readonly<Record<string, string>>,
): Record<string, string> {
  return Object.fromEntries(
    Object.entries(headers)
      .map(([name, value]) => [name.toLowerCase(), value] as const)
      .filter(([name]) => name !== "host" && !HOP_BY_HOP_HEADERS.has(name)),
  );
}

function flattenHeaders(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): Record<string, string> {
  return Object.fromEntries(
    Object.entries(headers).flatMap(([name, value]) =>
      value === undefined
        ? []
        : [[name, Array.isArray(value) ? value.join(", ") : value]],
    ),
  );
}

function readErrorCode(error: unknown): string {
  const { code, name, cause } = error as NodeJS.ErrnoException & {
    cause?: NodeJS.ErrnoException;
  };
  return code?.toString() ?? cause?.code ?? name ?? "unknown";
}
