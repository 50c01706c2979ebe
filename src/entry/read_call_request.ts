/** Validates a caller's HTTP request and converts it for the dispatch. */

import { randomUUID } from "node:crypto";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { matchRoute, normalizePath } from "../document/mod.ts";
import type { EnvironmentDocument, PlainService } from "../document/mod.ts";
import {
  chooseRunner,
  normalizeKey,
  readKeyTimeMs,
} from "../idempotency/mod.ts";
import type { AdmittedCaller } from "./admit_caller.ts";
import type { CallRequest } from "./call.ts";
import { createFingerprint } from "../quarantine/mod.ts";
import { parseLanguageRequest } from "./language_request.ts";
import { createNotRunRefusal } from "./refusal.ts";
import type { Refusal } from "./refusal.ts";

/** Allowed clock difference between callers and entries. */
const MAX_KEY_AHEAD_MS = 1_000;
const SERVICES_PREFIX = "/services/";
const LANGUAGE_HEADERS: ReadonlySet<string> = new Set([
  "accept",
  "content-type",
]);
/** Hop-by-hop headers, and those that only the entry may read. */
const REMOVED_HEADERS: ReadonlySet<string> = new Set([
  "authorization",
  "connection",
  "content-length",
  "expect",
  "host",
  "keep-alive",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

export type KeySuggester = (
  document: EnvironmentDocument,
  service: PlainService,
) => string | undefined;

export interface HttpRequest {
  readonly method: string;
  /** Path and query as received. */
  readonly url: string;
  readonly headers: NodeJS.Dict<string | string[]>;
  readonly body: Buffer;
}

export function readLanguageCall(
  request: HttpRequest,
  { config, account }: AdmittedCaller,
): Result<CallRequest, Refusal> {
  const [path = ""] = request.url.split("?");
  const parsed = parseLanguageRequest(request.body, path);
  if (parsed.isErr())
    return err(createNotRunRefusal("bad_request", parsed.error));
  const { model, promptPrefix } = parsed.value;
  const service = config.document.services.find(
    (candidate) => candidate.kind === "language" && candidate.model === model,
  );
  if (service === undefined) {
    const message = `No service offers the model ${JSON.stringify(model)}`;
    return err(createNotRunRefusal("unknown_model", message));
  }
  return ok({
    requestId: randomUUID(),
    clientAccount: account,
    service,
    method: request.method,
    path,
    headers: pickHeaders(request.headers, (name) => LANGUAGE_HEADERS.has(name)),
    body: request.body,
    repeatable: true,
    fingerprint: createFingerprint({
      clientAccount: account.name,
      method: request.method,
      path,
      body: request.body,
    }),
    promptPrefix,
  });
}

export function readServiceCall(
  request: HttpRequest,
  { config, account }: AdmittedCaller,
  { suggestKey }: { readonly suggestKey: KeySuggester },
): Result<CallRequest, Refusal> {
  const { method, url, body } = request;
  const urlRest = url.slice(SERVICES_PREFIX.length);
  const nameEnd = urlRest.search(/[/?]|$/);
  const name = urlRest.slice(0, nameEnd);
  const service = config.document.services.find(
    (candidate) => candidate.kind === "plain" && candidate.name === name,
  ) as PlainService | undefined;
  if (service === undefined) {
    const message = `There is no service ${JSON.stringify(name)}`;
    return err(createNotRunRefusal("unknown_service", message));
  }
  const path = urlRest.slice(nameEnd).replace(/^(?!\/)/, "/");
  const routePath = normalizePath(path.split("?")[0]!);
  if (routePath === undefined) {
    const message = "The path has empty, relative or encoded segments";
    return err(createNotRunRefusal("bad_request", message));
  }
  const route = matchRoute(service, method, routePath);
  if (route === undefined) {
    const message = `Service ${name} has no route for ${method} ${routePath}`;
    return err(createNotRunRefusal("unknown_service", message));
  }
  const key = route.repeatable
    ? ok(undefined)
    : readIdempotencyKey(request.headers["idempotency-key"], service, () =>
        suggestKey(config.document, service),
      );
  return key.map((value) => ({
    requestId: randomUUID(),
    clientAccount: account,
    service,
    method,
    path,
    headers: pickHeaders(
      request.headers,
      (header) =>
        !REMOVED_HEADERS.has(header) && !header.startsWith("zinniaspur"),
    ),
    body,
    repeatable: route.repeatable,
    fingerprint: createFingerprint({
      clientAccount: account.name,
      method,
      path,
      body,
    }),
    ...(value && { idempotencyKey: value }),
    promptPrefix: "",
  }));
}

function readIdempotencyKey(
  header: string | string[] | undefined,
  service: PlainService,
  suggest: () => string | undefined,
): Result<{ text: string; runner: string }, Refusal> {
  if (typeof header !== "string" || header === "") {
    const message = "This route needs the header Idempotency-Key";
    const suggestedKey = suggest();
    return err(createNotRunRefusal("key_required", message, { suggestedKey }));
  }
  const text = normalizeKey(header);
  if (text === undefined) {
    // Entries refuse all such keys, so it has not run and a new key is safe.
    const message = "The idempotency key is not a UUIDv7";
    const suggestedKey = suggest();
    return err(
      createNotRunRefusal("key_not_time_ordered", message, { suggestedKey }),
    );
  }
  if (readKeyTimeMs(text) > Date.now() + MAX_KEY_AHEAD_MS) {
    const message = "The idempotency key's time is in the future";
    return err(createNotRunRefusal("key_not_time_ordered", message));
  }
  const runner = chooseRunner(text, service.runnerSets);
  if (runner === undefined) {
    const message = "The idempotency key is older than the first runner set";
    return err(createNotRunRefusal("key_not_time_ordered", message));
  }
  return ok({ text, runner });
}

function pickHeaders(
  headers: NodeJS.Dict<string | string[]>,
  isWanted: (name: string) => boolean,
): Record<string, string> {
  return Object.fromEntries(
    Object.entries(headers)
      .filter(([name, value]) => isWanted(name) && value !== undefined)
      .map(([name, value]) => [name, String(value)]),
  );
}
