/**
 * Messages between the system's processes. Optional fields may be absent when
 * the other side runs an earlier version.
 */

import { z } from "zod";

export const PROTOCOL_VERSION = 1;

const helloSchema = z.object({
  protocolVersion: z.number().int(),
  role: z.enum(["entry", "agent", "operator"]),
  host: z.string(),
  dataCentre: z.string(),
  /** UUIDv7 made when the process started; a later one sorts higher. */
  incarnation: z.string(),
  service: z.string().optional(),
  configVersion: z.number().int(),
});
export type Hello = Readonly<z.infer<typeof helloSchema>>;

const resumeSchema = z.object({
  /** Text that the caller already has. */
  text: z.string(),
  tokens: z.number().int(),
});

const requestHeadSchema = z.object({
  kind: z.literal("request"),
  requestId: z.string(),
  service: z.string(),
  clientAccount: z.string(),
  /** Higher runs first. */
  priority: z.number().int(),
  method: z.string(),
  path: z.string(),
  headers: z.record(z.string(), z.string()),
  configVersion: z.number().int(),
  remainingMs: z.number(),
  repeatable: z.boolean(),
  fingerprint: z.string(),
  idempotencyKey: z.string().optional(),
  /** Digest the answer must come from; absent when any served one will do. */
  versionDigest: z.string().optional(),
  resume: resumeSchema.optional(),
});
export type RequestHead = Readonly<z.infer<typeof requestHeadSchema>>;

const chunkHeadSchema = z.object({
  kind: z.literal("chunk"),
  manifestDigest: z.string(),
  /** Index in the manifest; -1 asks for the manifest itself. */
  index: z.number().int(),
});
export type ChunkHead = Readonly<z.infer<typeof chunkHeadSchema>>;

const snapshotHeadSchema = z.object({
  kind: z.literal("snapshot"),
  topic: z.enum(["config", "hosts"]),
  heldVersion: z.number().int(),
  heldDigest: z.string(),
});
export type SnapshotHead = Readonly<z.infer<typeof snapshotHeadSchema>>;

const openHeadSchema = z.discriminatedUnion("kind", [
  requestHeadSchema,
  chunkHeadSchema,
  snapshotHeadSchema,
]);
export type OpenHead = RequestHead | ChunkHead | SnapshotHead;

/** Sent by an agent just before it hands the request to the endpoint. */
export interface Accepted {
  readonly kind: "accepted";
  readonly incarnation: string;
}

export interface ResponseHead {
  readonly kind: "response_head";
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly versionDigest?: string;
}

/** Answer to a snapshot stream; the bytes follow as data. */
export interface SnapshotReply {
  readonly kind: "snapshot_reply";
  readonly version: number;
  /** SHA-256 of the whole value, hexadecimal. */
  readonly digest: string;
  readonly encoding: "delta" | "whole" | "unchanged";
  readonly confirmedAtMs: number;
  readonly publishedAtMs: number;
  readonly keptPrefixBytes?: number;
  readonly keptSuffixBytes?: number;
}

export type StreamMessage = Accepted | ResponseHead | SnapshotReply;

export type Outcome = "answered" | "not_run" | "unknown";

/** Last frame of one direction of a stream. */
export interface Trailer {
  readonly outcome: Outcome;
  readonly code?: string;
  readonly message?: string;
  readonly retryAfterMs?: number;
  /** HTTP status for the caller; absent when the code alone decides it. */
  readonly status?: number;
}

export type Phase =
  "unknown" | "down" | "empty" | "loading" | "cold" | "warm" | "leaving";

export interface LoadNotice {
  readonly topic: "load";
  readonly sequence: number;
  readonly service: string;
  readonly phase: Phase;
  readonly versionDigest?: string;
  readonly inFlight: number;
  readonly queued: number;
  readonly limit: number;
}

export interface VersionNotice {
  readonly topic: "version";
  readonly snapshot: "config" | "hosts";
  readonly version: number;
  /** Highest time at which the version was known to be the platform's. */
  readonly confirmedAtMs: number;
}

export interface HaveNotice {
  readonly topic: "have";
  readonly manifestDigest: string;
  readonly chunkCount: number;
  /** One bit for each chunk, lowest bit of the first byte first. */
  readonly bitmap: Uint8Array;
  readonly servingDigest?: string;
  readonly phase: Phase;
}

export interface CrashNotice {
  readonly topic: "crash";
  readonly fingerprint: string;
  readonly endpoint: string;
  readonly expiresAtMs: number;
}

export type Notice = LoadNotice | VersionNotice | HaveNotice | CrashNotice;

export function parseHello(value: unknown): Hello | undefined {
  const parsed = helloSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

export function parseOpenHead(value: unknown): OpenHead | undefined {
  const parsed = openHeadSchema.safeParse(value);
  return parsed.success ? (parsed.data as OpenHead) : undefined;
}
