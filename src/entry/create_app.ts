/** HTTP routes of the entry. */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { HttpBindings } from "@hono/node-server";
import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { Hono } from "hono";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import type { PlainService } from "../document/mod.ts";
import type { AccountLimits } from "../limits/mod.ts";
import type { Registry } from "../metrics/mod.ts";
import { admitCaller } from "./admit_caller.ts";
import type { AdmittedCaller } from "./admit_caller.ts";
import { createCall } from "./call.ts";
import type { CallRequest } from "./call.ts";
import { createCallerResponse } from "./caller_response.ts";
import type { CallerResponse } from "./caller_response.ts";
import { dispatch } from "./dispatch.ts";
import type { EntryContext } from "./entry_context.ts";
import { suggestKey } from "./find_runner.ts";
import { readBody } from "./read_body.ts";
import type { BodyError } from "./read_body.ts";
import { readLanguageCall, readServiceCall } from "./read_call_request.ts";
import type { HttpRequest } from "./read_call_request.ts";
import { createNotRunRefusal } from "./refusal.ts";
import type { Refusal } from "./refusal.ts";
import { createStatusReport } from "./status_report.ts";

export interface AppOptions {
  readonly limits: AccountLimits;
  readonly registry: Registry;
  /** True once the shutdown has started. */
  readonly isDraining: () => boolean;
  /** True once new requests are refused. */
  readonly isRefusing: () => boolean;
  readonly readInFlight: () => number;
  /** Counts a request as in flight until the returned function is called. */
  readonly addInFlight: () => () => void;
}

type ReadCall = (
  request: HttpRequest,
  admitted: AdmittedCaller,
) => Result<CallRequest, Refusal>;

type App = Hono<{ Bindings: HttpBindings }>;

interface Exchange {
  readonly incoming: IncomingMessage;
  readonly caller: CallerResponse;
}

const BODY_MESSAGES: Readonly<Record<BodyError, string>> = {
  body_too_large: "The request body is too large",
  overloaded: "The entry holds too many request bodies",
  slow_request: "The request body did not arrive in time",
  caller_left: "The caller closed the connection",
};

/** For an error in this process; the request may have been sent. */
const INTERNAL_ERROR: Refusal = {
  code: "connection_lost",
  message: "The entry failed while it handled the request",
  outcome: "unknown",
};

export function createApp(context: EntryContext, options: AppOptions): App {
  const { node, settings, metrics, hints, random, bodyPool } = context;
  const { registry, isDraining, readInFlight, addInFlight } = options;
  const { view, logger } = node;
  const app: App = new Hono<{ Bindings: HttpBindings }>();

  function refuse(caller: CallerResponse, refusal: Refusal) {
    if (caller.isDisconnected()) return metrics.callersLeft.increment();
    metrics.refusals.increment({ reason: refusal.code });
    metrics.requests.increment({ outcome: refusal.outcome });
    caller.refuse(refusal);
  }

  async function readRequest(
    { incoming }: Exchange,
    admitted: AdmittedCaller,
  ): Promise<
    Result<{ request: HttpRequest; admitted: AdmittedCaller }, Refusal>
  > {
    const body = await readBody(incoming, {
      maxBytes: settings.maxBodyBytes,
      timeoutMs: settings.bodyTimeoutMs,
      pool: bodyPool,
    });
    if (body.isErr()) {
      return err(createNotRunRefusal(body.error, BODY_MESSAGES[body.error]));
    }
    const request: HttpRequest = {
      method: incoming.method ?? "GET",
      url: incoming.url ?? "/",
      headers: incoming.headers,
      body: body.value,
    };
    // The configuration may have changed while the body arrived.
    const config = view.config() ?? admitted.config;
    return ok({ request, admitted: { ...admitted, config } });
  }

  async function handleCall(exchange: Exchange, readCall: ReadCall) {
    const { incoming, caller } = exchange;
    const admitted = admitCaller(incoming.headers.authorization, {
      view,
      ...options,
    });
    if (admitted.isErr()) return refuse(caller, admitted.error);
    const received = await readRequest(exchange, admitted.value);
    const request = received.andThen((read) =>
      readCall(read.request, read.admitted),
    );
    try {
      if (request.isErr()) return refuse(caller, request.error);
      await dispatchCall(caller, request.value);
    } finally {
      if (received.isOk()) bodyPool.release(received.value.request.body.length);
    }
  }

  async function dispatchCall(caller: CallerResponse, request: CallRequest) {
    const call = createCall(request, {
      caller,
      timeoutMs: settings.requestTimeoutMs,
      nowMs: context.nowMs,
      sentEventsPool: context.sentEventsPool,
    });
    try {
      const outcome = await dispatch(context, call);
      metrics.requests.increment({ outcome });
    } catch (error) {
      logger.error(
        { err: error, requestId: request.requestId },
        "Failed to handle a request",
      );
      if (caller.isStarted()) caller.abort();
      else refuse(caller, INTERNAL_ERROR);
    } finally {
      call.close();
    }
  }

  async function handleKeyRequest(exchange: Exchange) {
    const { incoming, caller } = exchange;
    const admitted = admitCaller(incoming.headers.authorization, {
      view,
      ...options,
    });
    if (admitted.isErr()) return refuse(caller, admitted.error);
    const read = await readRequest(exchange, admitted.value);
    if (read.isOk()) bodyPool.release(read.value.request.body.length);
    const found = read.andThen(({ request, admitted: { config } }) =>
      findKeyedService(request, config.document.services).map((service) => ({
        service,
        document: config.document,
      })),
    );
    if (found.isErr()) return refuse(caller, found.error);
    const { service, document } = found.value;
    const key = suggestKey(node, document, service);
    if (key === undefined) {
      const message = `No runner of service ${service.name} can be reached`;
      return refuse(caller, createNotRunRefusal("no_endpoint", message));
    }
    metrics.requests.increment({ outcome: "answered" });
    caller.sendComplete(
      { status: 201, headers: { "content-type": "application/json" } },
      Buffer.from(JSON.stringify({ key, service: service.name })),
    );
  }

  function createHandler(run: (exchange: Exchange) => Promise<void>) {
    return async ({ env }: { env: HttpBindings }) => {
      const { incoming, outgoing } = env;
      await runWithInFlightCount(incoming, outgoing, run);
      return RESPONSE_ALREADY_SENT;
    };
  }

  async function runWithInFlightCount(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    run: (exchange: Exchange) => Promise<void>,
  ) {
    const release = addInFlight();
    // In flight until the last byte was handed to the socket.
    outgoing.once("close", release);
    const caller = createCallerResponse(outgoing, { random, isDraining });
    await run({ incoming, caller });
  }

  app.get("/healthz", (c) => c.text("ok\n"));
  app.get("/readyz", (c) => {
    const isReady =
      !isDraining() &&
      view.config() !== undefined &&
      !view.isRecoveringFromPause();
    return isReady ? c.text("ready\n") : c.text("not ready\n", 503);
  });
  app.get("/metrics", (c) =>
    c.text(registry.render(), 200, {
      "content-type": "text/plain; version=0.0.4",
    }),
  );
  app.get("/status", (c) =>
    c.json(
      createStatusReport(node, {
        hints,
        isDraining: isDraining(),
        inFlight: readInFlight(),
      }),
    ),
  );
  const readServiceCallWithKey: ReadCall = (request, admitted) =>
    readServiceCall(request, admitted, {
      suggestKey: (document, service) => suggestKey(node, document, service),
    });
  const handleLanguageCall = createHandler((exchange) =>
    handleCall(exchange, readLanguageCall),
  );
  app.post("/v1/chat/completions", handleLanguageCall);
  app.post("/v1/completions", handleLanguageCall);
  app.post("/v1/idempotency-keys", createHandler(handleKeyRequest));
  app.all(
    "/services/*",
    createHandler((exchange) => handleCall(exchange, readServiceCallWithKey)),
  );
  app.notFound(async ({ env }) => {
    const respond = createHandler(async ({ caller }) => {
      refuse(
        caller,
        createNotRunRefusal("unknown_service", "There is no such path"),
      );
    });
    return respond({ env });
  });
  return app;
}

/** The body may omit the service if only one takes idempotency keys. */
function findKeyedService(
  { body }: HttpRequest,
  services: readonly (PlainService | { readonly kind: "language" })[],
): Result<PlainService, Refusal> {
  const keyedServices = services.filter(
    (service): service is PlainService =>
      service.kind === "plain" && service.runnerSets.length > 0,
  );
  const name = readServiceName(body);
  if (name.isErr()) return err(createNotRunRefusal("bad_request", name.error));
  const found =
    name.value === undefined
      ? keyedServices.length === 1
        ? keyedServices[0]
        : undefined
      : keyedServices.find((service) => service.name === name.value);
  if (found !== undefined) return ok(found);
  const names = keyedServices.map((service) => service.name).join(", ");
  return err(
    createNotRunRefusal(
      "unknown_service",
      `Set "service" in the body to one of: ${names}`,
    ),
  );
}

function readServiceName(body: Buffer): Result<string | undefined, string> {
  if (body.length === 0) return ok(undefined);
  try {
    const value: unknown = JSON.parse(body.toString("utf8"));
    const { service } = Object(value) as { service?: unknown };
    if (service === undefined || typeof service === "string") {
      return ok(service);
    }
    return err("The field `service` is not a string");
  } catch {
    return err("The body is not valid JSON");
  }
}
