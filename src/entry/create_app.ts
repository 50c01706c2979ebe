/** The entry's HTTP interface. */

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
import type { Admitted } from "./admit_caller.ts";
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
import type { HttpInput } from "./read_call_request.ts";
import { createNotRun } from "./refusal.ts";
import type { Refusal } from "./refusal.ts";
import { createStatusReport } from "./status_report.ts";

export interface AppOptions {
  readonly limits: AccountLimits;
  readonly registry: Registry;
  /** True once the entry has been told to leave. */
  readonly isDraining: () => boolean;
  /** True once the entry takes no new work. */
  readonly isRefusing: () => boolean;
  readonly readInFlight: () => number;
  /** Counts a request until the returned function is called. */
  readonly addInFlight: () => () => void;
}

type ReadCall = (
  input: HttpInput,
  admitted: Admitted,
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

/** An error in this process; the request may have been sent. */
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
    if (caller.isGone()) return metrics.callersLeft.increment();
    metrics.refusals.increment({ reason: refusal.code });
    metrics.requests.increment({ outcome: refusal.outcome });
    caller.refuse(refusal);
  }

  async function readInput(
    { incoming }: Exchange,
    admitted: Admitted,
  ): Promise<Result<{ input: HttpInput; admitted: Admitted }, Refusal>> {
    const body = await readBody(incoming, {
      maxBytes: settings.maxBodyBytes,
      timeoutMs: settings.bodyTimeoutMs,
      pool: bodyPool,
    });
    if (body.isErr()) {
      return err(createNotRun(body.error, BODY_MESSAGES[body.error]));
    }
    const input: HttpInput = {
      method: incoming.method ?? "GET",
      url: incoming.url ?? "/",
      headers: incoming.headers,
      body: body.value,
    };
    // The configuration may have changed while the body arrived.
    const config = view.config() ?? admitted.config;
    return ok({ input, admitted: { ...admitted, config } });
  }

  async function answer(exchange: Exchange, readCall: ReadCall) {
    const { incoming, caller } = exchange;
    const admitted = admitCaller(incoming.headers.authorization, {
      view,
      ...options,
    });
    if (admitted.isErr()) return refuse(caller, admitted.error);
    const input = await readInput(exchange, admitted.value);
    const request = input.andThen((read) =>
      readCall(read.input, read.admitted),
    );
    try {
      if (request.isErr()) return refuse(caller, request.error);
      await answerCall(caller, request.value);
    } finally {
      if (input.isOk()) bodyPool.release(input.value.input.body.length);
    }
  }

  async function answerCall(caller: CallerResponse, request: CallRequest) {
    const call = createCall(request, {
      caller,
      timeoutMs: settings.requestTimeoutMs,
      nowMs: context.nowMs,
      keptEventsPool: context.keptEventsPool,
    });
    try {
      const outcome = await dispatch(context, call);
      metrics.requests.increment({ outcome });
    } catch (error) {
      logger.error({ err: error, requestId: request.requestId }, "Failed");
      if (caller.isStarted()) caller.abort();
      else refuse(caller, INTERNAL_ERROR);
    } finally {
      call.close();
    }
  }

  async function createKeyFor(exchange: Exchange) {
    const { incoming, caller } = exchange;
    const admitted = admitCaller(incoming.headers.authorization, {
      view,
      ...options,
    });
    if (admitted.isErr()) return refuse(caller, admitted.error);
    const read = await readInput(exchange, admitted.value);
    if (read.isOk()) bodyPool.release(read.value.input.body.length);
    const service = read.andThen(({ input, admitted: { config } }) =>
      findKeyService(input, config.document.services),
    );
    if (service.isErr()) return refuse(caller, service.error);
    const { document } = admitted.value.config;
    const key = suggestKey(node, document, service.value);
    if (key === undefined) {
      const message = `No runner of service ${service.value.name} can be reached`;
      return refuse(caller, createNotRun("no_endpoint", message));
    }
    metrics.requests.increment({ outcome: "answered" });
    caller.sendWhole(
      { status: 201, headers: { "content-type": "application/json" } },
      Buffer.from(JSON.stringify({ key, service: service.value.name })),
    );
  }

  function handle(run: (exchange: Exchange) => Promise<void>) {
    return async ({ env }: { env: HttpBindings }) => {
      const { incoming, outgoing } = env;
      await runCounted(incoming, outgoing, run);
      return RESPONSE_ALREADY_SENT;
    };
  }

  async function runCounted(
    incoming: IncomingMessage,
    outgoing: ServerResponse,
    run: (exchange: Exchange) => Promise<void>,
  ) {
    const release = addInFlight();
    // A response counts until its last byte was handed to the socket.
    outgoing.once("close", release);
    const caller = createCallerResponse(outgoing, { random, isDraining });
    await run({ incoming, caller });
  }

  app.get("/healthz", (c) => c.text("ok\n"));
  app.get("/readyz", (c) => {
    const isReady =
      !isDraining() && view.config() !== undefined && !view.isWaking();
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
  const readKeyedCall: ReadCall = (input, admitted) =>
    readServiceCall(input, admitted, {
      suggestKey: (document, service) => suggestKey(node, document, service),
    });
  const answerLanguage = handle((exchange) =>
    answer(exchange, readLanguageCall),
  );
  app.post("/v1/chat/completions", answerLanguage);
  app.post("/v1/completions", answerLanguage);
  app.post("/v1/idempotency-keys", handle(createKeyFor));
  app.all(
    "/services/*",
    handle((exchange) => answer(exchange, readKeyedCall)),
  );
  app.notFound(async ({ env }) => {
    const respond = handle(async ({ caller }) => {
      refuse(caller, createNotRun("unknown_service", "There is no such path"));
    });
    return respond({ env });
  });
  return app;
}

/** The body may name the service; it need not if there is only one. */
function findKeyService(
  { body }: HttpInput,
  services: readonly (PlainService | { readonly kind: "language" })[],
): Result<PlainService, Refusal> {
  const keyed = services.filter(
    (service): service is PlainService =>
      service.kind === "plain" && service.runnerSets.length > 0,
  );
  const name = readServiceName(body);
  if (name.isErr()) return err(createNotRun("bad_request", name.error));
  const found =
    name.value === undefined
      ? keyed.length === 1
        ? keyed[0]
        : undefined
      : keyed.find((service) => service.name === name.value);
  if (found !== undefined) return ok(found);
  const names = keyed.map((service) => service.name).join(", ");
  return err(
    createNotRun(
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
