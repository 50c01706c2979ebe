/**
 * Reads the configuration and the host list from the platform. Each call sends
 * one request, which the platform holds open for up to `waitMs`.
 */

import { Agent, request } from "undici";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import * as z from "zod";
import type { Registry } from "../metrics/mod.ts";

const CONNECT_TIMEOUT_MS = 2_000;
/** Time beyond `waitMs` within which the platform has to respond. */
const RESPONSE_MARGIN_MS = 2_000;
/** Values of the platform have up to 1 MB; the rest allows for JSON escapes. */
const MAX_BODY_BYTES = 4 * 1024 * 1024;

export type PlatformFailure =
  "timeout" | "connection" | "status" | "malformed" | "too_large" | "aborted";

export interface PlatformValue {
  readonly version: number;
  readonly publishedAtMs: number;
  readonly text: string;
}

export interface ReadOptions {
  /** Only a version newer than this one is returned. */
  readonly after: number;
  readonly waitMs: number;
  readonly signal?: AbortSignal;
}

export type PlatformResponse =
  | ({ readonly type: "value" } & PlatformValue)
  /** Nothing newer than `after`; a stale platform may have an older version. */
  | {
      readonly type: "unchanged";
      /** The platform's version, if the response names it. */
      readonly version?: number | undefined;
    };

export type PlatformRead = (
  options: ReadOptions,
) => Promise<Result<PlatformResponse, PlatformFailure>>;

export interface PlatformClient {
  readonly readConfig: PlatformRead;
  /** The text is canonical JSON: equal lists have equal bytes. */
  readonly readHosts: PlatformRead;
  close(): Promise<void>;
}

interface TopicFormat {
  readonly parse: (body: unknown) => PlatformValue | undefined;
  /** Header that names the platform's version in a response without a body. */
  readonly versionHeader: string;
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
  // Fails here rather than in each read if the address is not a URL.
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
    { parse, versionHeader }: TopicFormat,
  ): PlatformRead {
    return async ({ after, waitMs, signal }) => {
      reads.increment({ topic });
      const url = new URL(`/v1/${topic}`, platformUrl);
      url.searchParams.set("after", String(after));
      url.searchParams.set("wait_ms", String(waitMs));
      const result = await readJson(url, {
        agent,
        timeoutMs: waitMs + RESPONSE_MARGIN_MS,
        signal,
        versionHeader,
      });
      const parsed = result.andThen(
        (response): Result<PlatformResponse, PlatformFailure> => {
          if (response.type === "unchanged") return ok(response);
          const value = parse(response.json);
          if (value === undefined) return err("malformed");
          return ok({ type: "value", ...value });
        },
      );
      if (parsed.isErr()) failures.increment({ topic, reason: parsed.error });
      return parsed;
    };
  }

  return {
    readConfig: createRead("config", {
      parse: parseConfigBody,
      versionHeader: "config-version",
    }),
    readHosts: createRead("hosts", {
      parse: parseHostsBody,
      versionHeader: "hosts-sequence",
    }),
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
  readonly versionHeader: string;
}

type RawResponse =
  | { readonly type: "json"; readonly json: unknown }
  | Extract<PlatformResponse, { type: "unchanged" }>;

async function readJson(
  url: URL,
  options: FetchOptions,
): Promise<Result<RawResponse, PlatformFailure>> {
  const { agent, timeoutMs, signal, versionHeader } = options;
  // AbortSignal.any would retain each call's signal as long as the caller's.
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
    return await requestJson(url, {
      agent,
      signal: controller.signal,
      versionHeader,
    });
  } catch {
    return err(failure);
  } finally {
    clearTimeout(timer);
    signal?.removeEventListener("abort", abortForCaller);
  }
}

async function requestJson(
  url: URL,
  options: Pick<FetchOptions, "agent" | "signal" | "versionHeader">,
): Promise<Result<RawResponse, PlatformFailure>> {
  const { agent, signal, versionHeader } = options;
  const response = await request(url, {
    dispatcher: agent,
    ...(signal && { signal }),
  });
  if (response.statusCode !== 200) {
    await response.body.dump();
    if (response.statusCode !== 204) return err("status");
    const version = parseVersion(response.headers[versionHeader]);
    return ok({ type: "unchanged", version });
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

/** A header that is not a number is treated as absent. */
function parseVersion(
  header: string | string[] | undefined,
): number | undefined {
  const text = String(header);
  return /^\d{1,15}$/.test(text) ? Number(text) : undefined;
}

function parseJson(text: string): Result<RawResponse, PlatformFailure> {
  try {
    return ok({ type: "json", json: JSON.parse(text) as unknown });
  } catch {
    return err("malformed");
  }
}
