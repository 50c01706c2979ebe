/**
 * Notices between entries and sidecars that read the published state of a
 * platform: who is there, what the endpoints do, what is in force.
 */

import { z } from "zod";
import { phaseSchema } from "./phase.ts";
import type { Phase } from "./phase.ts";

/** One process of the system, as another one knows it. */
export interface MemberRecord {
  readonly host: string;
  readonly role: "entry" | "agent";
  readonly dataCentre: string;
  readonly service?: string | undefined;
  /** "IP:port" of its peer listener. */
  readonly peerAddress: string;
  /** Time since the sender last had a sign of life of it. */
  readonly silentMs: number;
}

/** Members that the sender has heard of, not always all of them. */
export interface MembersNotice {
  readonly topic: "members";
  readonly members: readonly MemberRecord[];
}

/** Asks a peer for all members that it knows. */
export interface MembersAskNotice {
  readonly topic: "members_ask";
}

/** Load of the endpoint beside an agent, as the endpoint reports it. */
export interface EndpointLoadNotice {
  readonly topic: "endpoint_load";
  /** "IP:port" of the endpoint. */
  readonly address: string;
  readonly phase: Phase;
  readonly models: readonly {
    readonly name: string;
    readonly version: number;
  }[];
  readonly running: number;
  readonly waiting: number;
  readonly memoryUsedTokens: number;
  readonly memoryTotalTokens: number;
  /** 1 at normal speed; 2 when everything takes twice as long. */
  readonly slowdown: number;
}

/** What agents need of the published state; entries send it to them. */
export interface FleetNotice {
  readonly topic: "fleet";
  readonly revision: number;
  readonly services: readonly FleetService[];
  readonly wantedWeights: readonly FleetWeights[];
}

export interface FleetService {
  readonly name: string;
  readonly models: readonly string[];
  readonly chunkCount: number;
  readonly chunkBytes: number;
  readonly originAddress?: string | undefined;
  readonly originMbitPerS?: number | undefined;
}

export interface FleetWeights {
  readonly model: string;
  readonly version: number;
  /** Longest time for which the version can have been published. */
  readonly publishedForMs: number;
}

/** Asks a peer for the published state if it knows a later one. */
export interface DirectoryAskNotice {
  readonly topic: "directory_ask";
  readonly askId: number;
  readonly revision: number;
  /** True if only the dates of versions are asked for, not the state. */
  readonly isForDates?: boolean | undefined;
}

export interface DirectoryReplyNotice {
  readonly topic: "directory_reply";
  readonly askId: number;
  readonly revision: number;
  /** Age of the sender's knowledge when it replied. */
  readonly ageMs: number;
  /** The state, compressed; absent unless it is later than asked. */
  readonly state?: Uint8Array | undefined;
  /** True if `state` holds only what is later than asked, not everything. */
  readonly isPartial?: boolean | undefined;
  /** Versions whose publication the sender can bound. */
  readonly wantedWeights?: readonly FleetWeights[] | undefined;
}

export const membersNoticeSchema = z.object({
  topic: z.literal("members"),
  members: z.array(
    z.object({
      host: z.string(),
      role: z.enum(["entry", "agent"]),
      dataCentre: z.string(),
      service: z.string().optional(),
      peerAddress: z.string(),
      silentMs: z.number().nonnegative(),
    }),
  ),
});

export const membersAskNoticeSchema = z.object({
  topic: z.literal("members_ask"),
});

export const endpointLoadNoticeSchema = z.object({
  topic: z.literal("endpoint_load"),
  address: z.string(),
  phase: phaseSchema,
  models: z.array(z.object({ name: z.string(), version: z.number() })),
  running: z.number().nonnegative(),
  waiting: z.number().nonnegative(),
  memoryUsedTokens: z.number(),
  memoryTotalTokens: z.number(),
  slowdown: z.number().positive(),
});

const fleetWeightsSchema = z.object({
  model: z.string(),
  version: z.number().int(),
  publishedForMs: z.number(),
});

export const fleetNoticeSchema = z.object({
  topic: z.literal("fleet"),
  revision: z.number(),
  services: z.array(
    z.object({
      name: z.string(),
      models: z.array(z.string()),
      chunkCount: z.number().int().nonnegative(),
      chunkBytes: z.number().int().nonnegative(),
      originAddress: z.string().optional(),
      originMbitPerS: z.number().optional(),
    }),
  ),
  wantedWeights: z.array(fleetWeightsSchema),
});

export const directoryAskNoticeSchema = z.object({
  topic: z.literal("directory_ask"),
  askId: z.number().int(),
  revision: z.number().int(),
  isForDates: z.boolean().optional(),
});

export const directoryReplyNoticeSchema = z.object({
  topic: z.literal("directory_reply"),
  askId: z.number().int(),
  revision: z.number().int(),
  ageMs: z.number().nonnegative(),
  state: z.instanceof(Uint8Array).optional(),
  isPartial: z.boolean().optional(),
  wantedWeights: z.array(fleetWeightsSchema).optional(),
});
