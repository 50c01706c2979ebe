/** Turns a caller's HTTP request into what is dispatched, or refuses it. */

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
import type { Admitted } from "./admit_caller.ts";
import type { CallRequest } from "./call.ts";
import { createFingerprint } from "../quarantine/mod.ts";
import { parseLanguageRequest } from "./language_request.ts";
import { createNotRun } from "./refusal.ts";
import type { Refusal } from "./refusal.ts";

/** Clocks of callers and entries may differ by this much. */
const MAX_KEY_AHEAD_MS = 1_000;
const SERVICES_PREFIX = "/services/";
const LANGUAGE_HEADERS: ReadonlySet<string> = new Set([
  "accept",
  "content-type",
]);
/** Headers of one hop, and those that only the entry may read. */
const HELD_HEADERS: ReadonlySet<string> = new Set([
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

export interface HttpInput {
  readonly method: string;
  /** Path and query as received. */
  readonly url: string;
  readonly headers: NodeJS.Dict<string | string[]>;
  readonly body: Buffer;
}

export function readLanguageCall(
  input: HttpInput,
  { config, account }: Admitted,
): Result<CallRequest, Refusal> {
  const [path = ""] = input.url.split("?");
  const parsed = parseLanguageRequest(input.body, path);
  if (parsed.isErr()) return err(createNotRun("bad_request", parsed.error));
  const { model, promptPrefix } = parsed.value;
  const service = config.document.services.find(
    (candidate) => candidate.kind === "language" && candidate.model === model,
  );
  if (service === undefined) {
    const message = `No service offers the model ${JSON.stringify(model)}`;
    return err(createNotRun("unknown_model", message));
  }
  return ok({
    requestId: randomUUID(),
    clientAccount: account,
    service,
    method: input.method,
    path,
    headers: pickHeaders(input.headers, (name) => LANGUAGE_HEADERS.has(name)),
    body: input.body,
    repeatable: true,
    fingerprint: createFingerprint({
      clientAccount: account.name,
      method: input.method,
      path,
      body: input.body,
    }),
    promptPrefix,
  });
}

export function readServiceCall(
  input: HttpInput,
  { config, account }: Admitted,
  { suggestKey }: { readonly suggestKey: KeySuggester },
): Result<CallRequest, Refusal> {
  const { method, url, body } = input;
  const rest = url.slice(SERVICES_PREFIX.length);
  const nameEnd = rest.search(/[/?]|$/);
  const name = rest.slice(0, nameEnd);
  const service = config.document.services.find(
    (candidate) => candidate.kind === "plain" && candidate.name === name,
  ) as PlainService | undefined;
  if (service === undefined) {
    const message = `There is no service ${JSON.stringify(name)}`;
    return err(createNotRun("unknown_service", message));
  }
  const path = rest.slice(nameEnd).replace(/^(?!\/)/, "/");
  const routePath = normalizePath(path.split("?")[0]!);
  if (routePath === undefined) {
    const message = "The path has empty, relative or encoded segments";
    return err(createNotRun("bad_request", message));
  }
  const route = matchRoute(service, method, routePath);
  if (route === undefined) {
    const message = `Service ${name} has no route for ${method} ${routePath}`;
    return err(createNotRun("unknown_service", message));
  }
  const key = route.repeatable
    ? ok(undefined)
    : readKey(input.headers["idempotency-key"], service, () =>
        suggestKey(config.document, service),
      );
  return key.map((value) => ({
    requestId: randomUUID(),
    clientAccount: account,
    service,
    method,
    path,
    headers: pickHeaders(
      input.headers,
      (header) => !HELD_HEADERS.has(header) && !header.startsWith("zinniaspur"),
    ),
    body,
    repeatable: route.repeatable,
    fingerprint: createFingerprint({
      clientAccount: account.name,
      method,
      path,
      body,
    }),
    ...(value && { key: value }),
    promptPrefix: "",
  }));
}

function readKey(
  header: string | string[] | undefined,
  service: PlainService,
  suggest: () => string | undefined,
): Result<{ text: string; runner: string }, Refusal> {
  if (typeof header !== "string" || header === "") {
    const message = "This route needs the header Idempotency-Key";
    const suggestedKey = suggest();
    return err(createNotRun("key_required", message, { suggestedKey }));
  }
  const text = normalizeKey(header);
  if (text === undefined) {
    // No entry has ever let such a key run, so another one is safe.
    const message = "The idempotency key is not a UUIDv7";
    const suggestedKey = suggest();
    return err(createNotRun("key_not_time_ordered", message, { suggestedKey }));
  }
  if (readKeyTimeMs(text) > Date.now() + MAX_KEY_AHEAD_MS) {
    const message = "The idempotency key's time is in the future";
    return err(createNotRun("key_not_time_ordered", message));
  }
  const runner = chooseRunner(text, service.runnerSets);
  if (runner === undefined) {
    const message = "The idempotency key is older than the first runner set";
    return err(createNotRun("key_not_time_ordered", message));
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
