/** Downloads manifests and chunks from the platform's weight store. */

import { Agent, request } from "undici";
import { createByteAssembler } from "./fetch_result.ts";
import type { FetchLimits, FetchResult } from "./fetch_result.ts";

/** Longer than for a peer, because many agents share the link of the store. */
const STORE_TIMEOUT_MS = 5_000;
const MAX_CONNECTIONS = 8;
const DEFAULT_RETRY_AFTER_MS = 500;
const MAX_RETRY_AFTER_MS = 10_000;

export interface StoreClient {
  fetch(
    kind: "manifests" | "chunks",
    digest: string,
    limits: FetchLimits,
  ): Promise<FetchResult>;
  close(): Promise<void>;
}

export function createStoreClient(storeUrl: string): StoreClient {
  const dispatcher = new Agent({
    connections: MAX_CONNECTIONS,
    connectTimeout: STORE_TIMEOUT_MS,
    headersTimeout: STORE_TIMEOUT_MS,
    bodyTimeout: STORE_TIMEOUT_MS,
  });
  return {
    async fetch(kind, digest, limits) {
      try {
        const response = await request(
          new URL(`/v1/${kind}/${encodeURIComponent(digest)}`, storeUrl),
          { dispatcher, signal: limits.signal },
        );
        if (response.statusCode !== 200) {
          await response.body.dump();
          return {
            type: "refused",
            code: `status_${response.statusCode}`,
            retryAfterMs: parseRetryAfter(response.headers["retry-after"]),
          };
        }
        return await receive(response.body, limits);
      } catch (error) {
        return { type: "failed", reason: describeError(error) };
      }
    },
    close: () => dispatcher.destroy(),
  };
}

async function receive(
  body: AsyncIterable<Uint8Array>,
  limits: FetchLimits,
): Promise<FetchResult> {
  const assembler = createByteAssembler(limits);
  // Leaving the loop early destroys the response body and its connection.
  for await (const bytes of body) {
    limits.onBytes(bytes.length);
    if (!assembler.push(bytes)) return { type: "corrupt", reason: "too_long" };
    await limits.waitForBandwidth();
  }
  return assembler.finish();
}

function parseRetryAfter(value: string | string[] | undefined): number {
  const seconds = typeof value === "string" ? Number(value) : NaN;
  if (!(seconds >= 0)) return DEFAULT_RETRY_AFTER_MS;
  return Math.min(seconds * 1000, MAX_RETRY_AFTER_MS);
}

function describeError(error: unknown): string {
  const code = (error as { code?: unknown } | undefined)?.code;
  return typeof code === "string" ? code.toLowerCase() : "request_failed";
}
