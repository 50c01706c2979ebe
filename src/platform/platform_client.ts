/**
 * Reads the configuration and the host list from the platform. Each call is
 * one read to the platform, however long it waits.
 */

import { Agent, request } from "undici";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { z } from "zod";
import type { Registry } from "../metrics/mod.ts";

const CONNECT_TIMEOUT_MS = 2_000;
/** Time beyond `waitMs` in which the platform has to answer. */
const ANSWER_ALLOWANCE_MS = 2_000;
/** The platform holds values up to 1 MB; the rest is room for JSON escapes. */
const MAX_BODY_BYTES = 4 * 1024 * 1024;

export type PlatformFailure =
  "timeout" | "connection" | "status" | "malformed" | "too_large" | "aborted";

export interface PlatformValue {
  readonly version: number;
  readonly publishedAtMs: number;
  readonly text: string;
}

export interface ReadOptions {
  /** Only a version above this one is returned. */
  readonly after: number;
  readonly waitMs: number;
  readonly signal?: AbortSignal;
}

/** Resolves with `undefined` when the platform has nothing newer. */
export type PlatformRead = (
  options: ReadOptions,
) => Promise<Result<PlatformValue | undefined, PlatformFailure>>;

export interface PlatformClient {
  readonly readConfig: PlatformRead;
  /** The text is canonical JSON: equal lists have equal bytes. */
  readonly readHosts: PlatformRead;
  close(): Promise<void>;
}

const configSchema = z.object({
  version: z.number().int().nonnegative(),
  published_at_ms: z.number(),
  value: z.string(),
});

const hostsSchema = z.looseObject({
  sequence: z.number().int().nonnegative(),
  hosts: z.array(z.looseObject({ name: z.string() })),
});

export interface PlatformClientOptions {
  readonly platformUrl: string;
  readonly registry: Registry;
}

export function createPlatformClient(
  options: PlatformClientOptions,
): PlatformClient {
  const { registry } = options;
  // Throws here rather than in each read when the address is not a URL.
  const platformUrl = new URL(options.platformUrl);
  const agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS } });
  const reads = registry.counter(
    "platform_reads_total",
    "Reads sent to the platform by topic",
  );
  const failures = registry.counter(
    "platform_read_failures_total",
    "Failed platform reads by topic and reason",
  );

  function createRead(
    topic: "config" | "hosts",
    parse: (body: unknown) => PlatformValue | undefined,
  ): PlatformRead {
    return async ({ after, waitMs, signal }) => {
      reads.increment({ topic });
      const url = new URL(`/v1/${topic}`, platformUrl);
      url.searchParams.set("after", String(after));
      url.searchParams.set("wait_ms", String(waitMs));
      const result = await readJson(url, {
        agent,
        timeoutMs: waitMs + ANSWER_ALLOWANCE_MS,
        signal,
      });
      const parsed = result.andThen((body) => {
        if (body === undefined) return ok(undefined);
        const value = parse(body);
        return value === undefined ? err("malformed" as const) : ok(value);
      });
      if (parsed.isErr()) failures.increment({ topic, reason: parsed.error });
      return parsed;
    };
  }

  return {
    readConfig: createRead("config", parseConfigBody),
    readHosts: createRead("hosts", parseHostsBody),
    close: () => agent.destroy(),
  };
}

function parseConfigBody(body: unknown): PlatformValue | undefined {
  const parsed = configSchema.safeParse(body);
  if (!parsed.success) return undefined;
  const { version, published_at_ms: publishedAtMs, value } = parsed.data;
  return { version, publishedAtMs, text: value };
}

function parseHostsBody(body: unknown): PlatformValue | undefined {
  const parsed = hostsSchema.safeParse(body);
  if (!parsed.success) return undefined;
  const { sequence, hosts } = parsed.data;
  const sorted = [...hosts].sort((a, b) => (a.name < b.name ? -1 : 1));
  const text = JSON.stringify(sortKeys(sorted));
  return { version: sequence, publishedAtMs: 0, text };
}

function sortKeys(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(sortKeys);
  if (typeof value !== "object" || value === null) return value;
  return Object.fromEntries(
    Object.entries(value)
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([key, inner]) => [key, sortKeys(inner)]),
  );
}

interface FetchOptions {
  readonly agent: Agent;
  readonly timeoutMs: number;
  readonly signal: AbortSignal | undefined;
}

async function readJson(
  url: URL,
  options: FetchOptions,
): Promise<Result<unknown, PlatformFailure>> {
  const { agent, timeoutMs, signal } = options;
  // AbortSignal.any would keep each call's signal for as long as the caller's.
  const controller = new AbortController();
  let failure: PlatformFailure = "connection";
  function abort(reason: PlatformFailure) {
    failure = reason;
    controller.abort();
  }
  const abortForCaller = () => abort("aborted");
  if (signal?.aborted) return err("aborted");
  signal?.addEventListener("abort", abortForCaller);
  const timer = setTimeout(() => abort("timeout"), timeoutMs);
  try {
    return await requestJson(url, { agent, signal: controller.signal });
  } catch {
    return err(failure);
  } finally {
    clearTimeout(timer);
    signal?.removeEventListener("abort", abortForCaller);
  }
}

async function requestJson(
  url: URL,
  options: { readonly agent: Agent; readonly signal: AbortSignal },
): Promise<Result<unknown, PlatformFailure>> {
  const { agent, signal } = options;
  const response = await request(url, { dispatcher: agent, signal });
  if (response.statusCode !== 200) {
    await response.body.dump();
    return response.statusCode === 204 ? ok(undefined) : err("status");
  }
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  for await (const chunk of response.body as AsyncIterable<Buffer>) {
    sizeBytes += chunk.length;
    if (sizeBytes > MAX_BODY_BYTES) return err("too_large");
    chunks.push(chunk);
  }
  return parseJson(Buffer.concat(chunks).toString("utf8"));
}

function parseJson(text: string): Result<unknown, PlatformFailure> {
  try {
    return ok(JSON.parse(text));
  } catch {
    return err("malformed");
  }
}
