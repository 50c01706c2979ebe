/**
 * Messages between the system's processes. Optional fields may be absent if the
 * sender runs an earlier version.
 */

import { z } from "zod";
import {
  directoryAskNoticeSchema,
  directoryReplyNoticeSchema,
  endpointLoadNoticeSchema,
  fleetNoticeSchema,
  membersAskNoticeSchema,
  membersNoticeSchema,
  rateAskNoticeSchema,
  rateGrantNoticeSchema,
  subscribeNoticeSchema,
} from "./fleet_notices.ts";
import type {
  DirectoryAskNotice,
  DirectoryReplyNotice,
  EndpointLoadNotice,
  FleetNotice,
  MembersAskNotice,
  MembersNotice,
  RateAskNotice,
  RateGrantNotice,
  SubscribeNotice,
} from "./fleet_notices.ts";
import { phaseSchema } from "./phase.ts";
import type { Phase } from "./phase.ts";
import { promptPartNoticeSchemas } from "./prompt_part_notices.ts";
import type { PromptPartNotice } from "./prompt_part_notices.ts";

import { requestLimitNoticeSchemas } from "./request_limit_notices.ts";
import type { RequestLimitNotice } from "./request_limit_notices.ts";

export const PROTOCOL_VERSION = 1;

const helloSchema = z.object({
  protocolVersion: z.number().int(),
  role: z.enum(["entry", "agent", "operator"]),
  host: z.string(),
  dataCentre: z.string(),
  /** UUIDv7 generated at process start; sorts by the time of the start. */
  incarnation: z.string(),
  service: z.string().optional(),
  configVersion: z.number().int(),
});
export type Hello = Readonly<z.infer<typeof helloSchema>>;

const resumeSchema = z.object({
  /** Text that the caller has already received. */
  text: z.string(),
  tokens: z.number().int(),
});

const requestHeadSchema = z.object({
  kind: z.literal("request"),
  requestId: z.string(),
  service: z.string(),
  clientAccount: z.string(),
  /** Requests of a higher priority run first. */
  priority: z.number().int(),
  method: z.string(),
  path: z.string(),
  headers: z.record(z.string(), z.string()),
  configVersion: z.number().int(),
  remainingMs: z.number(),
  repeatable: z.boolean(),
  fingerprint: z.string(),
  idempotencyKey: z.string().optional(),
  /** Digest of the required version; absent if any served version is allowed. */
  versionDigest: z.string().optional(),
  resume: resumeSchema.optional(),
  /** True if another endpoint was lost while it handled the request. */
  hasLostEndpoint: z.boolean().optional(),
});
export type RequestHead = Readonly<z.infer<typeof requestHeadSchema>>;

const chunkHeadSchema = z.object({
  kind: z.literal("chunk"),
  manifestDigest: z.string(),
  /** Index in the manifest; -1 requests the manifest itself. */
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

/** Sent by an agent just before it forwards the request to the endpoint. */
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
  /** 0 if the sender has no value. */
  version: z.number().int().nonnegative(),
  /** Hexadecimal SHA-256 of the whole value. */
  digest: z.string(),
  /** The bytes of a whole value are compressed; those of a delta are not. */
  encoding: z.enum(["delta", "whole", "unchanged"]),
  confirmedAtMs: z.number(),
  publishedAtMs: z.number(),
  keptPrefixBytes: z.number().int().nonnegative().optional(),
  keptSuffixBytes: z.number().int().nonnegative().optional(),
  /** True if the sender has not yet compared versions after a pause. */
  waking: z.boolean().optional(),
});
/** Response on a snapshot stream, followed by the bytes as data. */
export type SnapshotReply = Readonly<z.infer<typeof snapshotReplySchema>>;

export type StreamMessage = Accepted | ResponseHead | SnapshotReply;

export type Outcome = "answered" | "not_run" | "unknown";

/** Payload of the end frame, the last one of each direction of a stream. */
export interface Trailer {
  readonly outcome: Outcome;
  readonly code?: string;
  readonly message?: string;
  readonly retryAfterMs?: number;
  /** HTTP status for the caller; absent if `code` alone determines it. */
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
  /** Latest time at which the version was known to be the platform's. */
  readonly confirmedAtMs: number;
  /** First 16 hexadecimal digits of the value's SHA-256. */
  readonly digest?: string;
  /** True in the periodic exchange that recovers from lost announcements. */
  readonly probe?: boolean;
}

export interface HaveNotice {
  readonly topic: "have";
  readonly manifestDigest: string;
  readonly chunkCount: number;
  /** One bit per chunk, starting with the lowest bit of the first byte. */
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
  /** True while it is not certain that the endpoint crashed. */
  readonly isPreliminary?: boolean;
}

/** Notifies a process of a later incarnation with its host name. */
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
  subscribeNoticeSchema,
  endpointLoadNoticeSchema,
  rateAskNoticeSchema,
  rateGrantNoticeSchema,
  fleetNoticeSchema,
  directoryAskNoticeSchema,
  directoryReplyNoticeSchema,
  ...promptPartNoticeSchemas,
  ...requestLimitNoticeSchemas,
]);
export type Notice =
  | LoadNotice
  | VersionNotice
  | HaveNotice
  | CrashNotice
  | ReplacedNotice
  | MembersNotice
  | MembersAskNotice
  | SubscribeNotice
  | EndpointLoadNotice
  | RateAskNotice
  | RateGrantNotice
  | FleetNotice
  | DirectoryAskNotice
  | DirectoryReplyNotice
  | PromptPartNotice
  | RequestLimitNotice;

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

/** Checks only the discriminating field; each kind has its own parser. */
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
