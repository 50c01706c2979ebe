/**
 * Relays an endpoint's answer to the entry. The answer is complete only if its
 * end was received; a closed connection alone does not prove that.
 */

import { createSseSplitter } from "../engine/mod.ts";
import type { EndpointResponse } from "../engine/mod.ts";
import { MAX_STORED_RESPONSE_BYTES } from "../idempotency/mod.ts";
import type { StoredResponse } from "../idempotency/mod.ts";
import type { Stream } from "../wire/mod.ts";

export const DIGEST_HEADER = "engine-version-digest";

const DRAIN_TIMEOUT_MS = 1_000;
/** Statuses by which an endpoint signals overload. */
export const OVERLOAD_STATUSES: ReadonlySet<number> = new Set([429, 503, 504]);

export type RelayResult =
  | { readonly type: "whole"; readonly stored?: StoredResponse }
  | { readonly type: "wrong_digest" }
  /** The engine refused the request; another one may accept it. */
  | { readonly type: "overloaded" }
  | { readonly type: "broken"; readonly reason: string };

export interface RelayOptions {
  /** Expected digest of a model's answer; undefined for plain services. */
  readonly digest: string | undefined;
  /**
   * Returns a copy of the answer if it is not too large. Reading continues
   * after the caller has left.
   */
  readonly isStored: boolean;
}

export async function relayAnswer(
  stream: Stream,
  response: EndpointResponse,
  options: RelayOptions,
): Promise<RelayResult> {
  const { digest } = options;
  const actual = response.headers[DIGEST_HEADER];
  const isSuccess = response.status < 300;
  if (digest !== undefined && OVERLOAD_STATUSES.has(response.status)) {
    return { type: "overloaded" };
  }
  if (digest !== undefined && actual !== digest) {
    // An error response without a digest need not come from a model.
    if (isSuccess || actual !== undefined) return { type: "wrong_digest" };
  }
  stream.send({
    kind: "response_head",
    status: response.status,
    headers: response.headers,
    ...(actual === undefined ? {} : { versionDigest: actual }),
  });
  const contentType = response.headers["content-type"] ?? "";
  const isEventStream =
    digest !== undefined &&
    isSuccess &&
    contentType.startsWith("text/event-stream");
  try {
    return isEventStream
      ? await relayEvents(stream, response)
      : await relayBody(stream, response, options);
  } catch (error) {
    const { code } = error as NodeJS.ErrnoException;
    return { type: "broken", reason: code ?? "connection_lost" };
  }
}

async function relayEvents(
  stream: Stream,
  response: EndpointResponse,
): Promise<RelayResult> {
  const splitter = createSseSplitter();
  const iterator = response.body[Symbol.asyncIterator]();
  for (;;) {
    const next = await iterator.next();
    if (next.done === true) return { type: "broken", reason: "no_done_event" };
    const events = splitter.push(next.value);
    const isSent = events.length === 0 || stream.tryWrite(events);
    if (!isSent) await stream.write(events);
    if (splitter.isDone()) {
      void drainAnswer(iterator);
      return { type: "whole" };
    }
    if (splitter.hasOverflowed()) {
      return { type: "broken", reason: "event_too_large" };
    }
  }
}

/**
 * Reads to the end, so that the connection can be reused if the body ends soon.
 */
async function drainAnswer(iterator: AsyncIterator<Uint8Array>): Promise<void> {
  const timer = setTimeout(() => void iterator.return?.(), DRAIN_TIMEOUT_MS);
  try {
    while ((await iterator.next()).done !== true);
  } catch {
    // The answer was already complete.
  }
  clearTimeout(timer);
}

async function relayBody(
  stream: Stream,
  response: EndpointResponse,
  { isStored }: RelayOptions,
): Promise<RelayResult> {
  const parts: Uint8Array[] = [];
  let sizeBytes = 0;
  for await (const bytes of response.body) {
    sizeBytes += bytes.length;
    if (isStored && sizeBytes <= MAX_STORED_RESPONSE_BYTES) parts.push(bytes);
    await stream.write(bytes);
  }
  if (!response.isDelimited) return { type: "broken", reason: "no_length" };
  if (!isStored || sizeBytes > MAX_STORED_RESPONSE_BYTES) {
    return { type: "whole" };
  }
  const { status, headers } = response;
  return {
    type: "whole",
    stored: { status, headers, body: Buffer.concat(parts) },
  };
}
