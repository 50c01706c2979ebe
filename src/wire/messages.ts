/**
 * Messages between the system's processes. Optional fields may be absent when
 * the other side runs an earlier version.
 */

import { z } from "zod";
import {
  directoryAskNoticeSchema,
  directoryReplyNoticeSchema,
  endpointLoadNoticeSchema,
  fleetNoticeSchema,
  membersAskNoticeSchema,
  membersNoticeSchema,
} from "./fleet_notices.ts";
import type {
  DirectoryAskNotice,
  DirectoryReplyNotice,
  EndpointLoadNotice,
  FleetNotice,
  MembersAskNotice,
  MembersNotice,
} from "./fleet_notices.ts";
import { phaseSchema } from "./phase.ts";
import type { Phase } from "./phase.ts";

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
  /** Another endpoint was lost while it had the request. */
  hasLostEndpoint: z.boolean().optional(),
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

const snapshotReplySchema = z.object({
  kind: z.literal("snapshot_reply"),
  /** 0 when the sender has no value. */
  version: z.number().int().nonnegative(),
  /** SHA-256 of the whole value, hexadecimal. */
  digest: z.string(),
  /** The bytes of a whole value are compressed, those of a delta are not. */
  encoding: z.enum(["delta", "whole", "unchanged"]),
  confirmedAtMs: z.number(),
  publishedAtMs: z.number(),
  keptPrefixBytes: z.number().int().nonnegative().optional(),
  keptSuffixBytes: z.number().int().nonnegative().optional(),
  /** True if the sender itself has yet to compare versions after a pause. */
  waking: z.boolean().optional(),
});
/** Answer to a snapshot stream; the bytes follow as data. */
export type SnapshotReply = Readonly<z.infer<typeof snapshotReplySchema>>;

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
  /** First 16 hexadecimal digits of the value's SHA-256. */
  readonly digest?: string;
  /** True in the periodic exchange that heals lost announcements. */
  readonly probe?: boolean;
}

export interface HaveNotice {
  readonly topic: "have";
  readonly manifestDigest: string;
  readonly chunkCount: number;
  /** One bit for each chunk, lowest bit of the first byte first. */
  readonly bitmap: Uint8Array;
  readonly servingDigest?: string;
  readonly phase: Phase;
  /** Chunk bytes of this manifest that the agent has sent to others. */
  readonly sentBytes?: number;
}

export interface CrashNotice {
  readonly topic: "crash";
  readonly fingerprint: string;
  readonly endpoint: string;
  readonly expiresAtMs: number;
  /** True while the crash is not certain. */
  readonly isPreliminary?: boolean;
}

/** Tells a process that a later one with its host name has been seen. */
export interface ReplacedNotice {
  readonly topic: "replaced";
  readonly host: string;
  readonly incarnation: string;
}

const loadNoticeSchema = z.object({
  topic: z.literal("load"),
  sequence: z.number(),
  service: z.string(),
  phase: phaseSchema,
  versionDigest: z.string().optional(),
  inFlight: z.number().nonnegative(),
  queued: z.number().nonnegative(),
  limit: z.number().nonnegative(),
});

const versionNoticeSchema = z.object({
  topic: z.literal("version"),
  snapshot: z.enum(["config", "hosts"]),
  version: z.number().int(),
  confirmedAtMs: z.number(),
  digest: z.string().optional(),
  probe: z.boolean().optional(),
});

const haveNoticeSchema = z.object({
  topic: z.literal("have"),
  manifestDigest: z.string(),
  chunkCount: z.number().int(),
  bitmap: z.instanceof(Uint8Array),
  servingDigest: z.string().optional(),
  phase: phaseSchema,
  sentBytes: z.number().nonnegative().optional(),
});

const crashNoticeSchema = z.object({
  topic: z.literal("crash"),
  fingerprint: z.string().max(128),
  endpoint: z.string().max(256),
  expiresAtMs: z.number(),
  isPreliminary: z.boolean().optional(),
});

const replacedNoticeSchema = z.object({
  topic: z.literal("replaced"),
  host: z.string(),
  incarnation: z.string(),
});

const noticeSchema = z.discriminatedUnion("topic", [
  loadNoticeSchema,
  versionNoticeSchema,
  haveNoticeSchema,
  crashNoticeSchema,
  replacedNoticeSchema,
  membersNoticeSchema,
  membersAskNoticeSchema,
  endpointLoadNoticeSchema,
  fleetNoticeSchema,
  directoryAskNoticeSchema,
  directoryReplyNoticeSchema,
]);
export type Notice =
  | LoadNotice
  | VersionNotice
  | HaveNotice
  | CrashNotice
  | ReplacedNotice
  | MembersNotice
  | MembersAskNotice
  | EndpointLoadNotice
  | FleetNotice
  | DirectoryAskNotice
  | DirectoryReplyNotice;

export function parseHello(value: unknown): Hello | undefined {
  const parsed = helloSchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}

export function parseOpenHead(value: unknown): OpenHead | undefined {
  const parsed = openHeadSchema.safeParse(value);
  return parsed.success ? (parsed.data as OpenHead) : undefined;
}

export function parseNotice(value: unknown): Notice | undefined {
  const parsed = noticeSchema.safeParse(value);
  return parsed.success ? (parsed.data as Notice) : undefined;
}

const messageSchema = z.looseObject({ kind: z.string() });
const trailerSchema = z.looseObject({
  outcome: z.enum(["answered", "not_run", "unknown"]),
  code: z.string().optional(),
  message: z.string().optional(),
  retryAfterMs: z.number().optional(),
});

/** Checks only what tells messages apart; each kind has its own reader. */
export function parseMessage(value: unknown): StreamMessage | undefined {
  const parsed = messageSchema.safeParse(value);
  return parsed.success ? (value as StreamMessage) : undefined;
}

export function parseTrailer(value: unknown): Trailer | undefined {
  const parsed = trailerSchema.safeParse(value);
  return parsed.success ? (value as Trailer) : undefined;
}

export function parseSnapshotReply(value: unknown): SnapshotReply | undefined {
  const parsed = snapshotReplySchema.safeParse(value);
  return parsed.success ? parsed.data : undefined;
}
