/**
 * Notices between entries and sidecars on platforms whose published state they
 * read directly: members, load of the endpoints, and the state in force.
 */

import { z } from "zod";
import { phaseSchema } from "./phase.ts";
import type { Phase } from "./phase.ts";

/** One process of the system as known to another one. */
export interface MemberRecord {
  readonly host: string;
  readonly role: "entry" | "agent";
  readonly dataCentre: string;
  readonly service?: string | undefined;
  /** "IP:port" of its peer listener. */
  readonly peerAddress: string;
  /** Time since the member was last seen, according to the sender. */
  readonly silentMs: number;
}

/** Members known to the sender, or a part of them. */
export interface MembersNotice {
  readonly topic: "members";
  readonly members: readonly MemberRecord[];
}

/** Requests all members known to a peer. */
export interface MembersAskNotice {
  readonly topic: "members_ask";
}

/**
 * Sent by an agent to the few entries that are to tell it about new members and
 * changes of the published state.
 */
export interface SubscribeNotice {
  readonly topic: "subscribe";
  /** False if the agent relies on other entries now. */
  readonly isWanted: boolean;
}

/** Load of an agent's endpoint, as reported by the endpoint. */
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
  /**
   * Factor by which requests take longer than usual: 1 at normal speed, 2 if
   * everything takes twice as long.
   */
  readonly slowdown: number;
  /**
   * Requests per second that each entry may send, whether the endpoint is cold
   * or not; absent while the agent does not know the endpoint's limit.
   */
  readonly sharePerS?: number | undefined;
}

/** Asks an agent to lend a higher request rate than this entry's share. */
export interface RateAskNotice {
  readonly topic: "rate_ask";
  readonly askId: number;
  /** The whole rate that the entry needs. */
  readonly ratePerS: number;
}

export interface RateGrantNotice {
  readonly topic: "rate_grant";
  readonly askId: number;
  /** "IP:port" of the endpoint. */
  readonly address: string;
  /** In addition to the share, for two seconds from the time of the ask. */
  readonly ratePerS: number;
}

/** The part of the published state that agents need, sent by entries. */
export interface FleetNotice {
  readonly topic: "fleet";
  readonly revision: number;
  /** Era of the store to which the revision belongs; absent for era 0. */
  readonly era?: number | undefined;
  /** Version of the sender's configuration, which orders notices first. */
  readonly configVersion?: number | undefined;
  readonly services: readonly FleetService[];
  readonly wantedWeights: readonly FleetWeights[];
}

export interface FleetService {
  readonly name: string;
  readonly models: readonly string[];
  readonly chunkCount: number;
  readonly chunkBytes: number;
  /**
   * Requests per second that all entries together may send to an endpoint of
   * the service; absent if there is no limit.
   */
  readonly coldLimitPerS?: number | undefined;
  readonly originAddress?: string | undefined;
  readonly originMbitPerS?: number | undefined;
}

export interface FleetWeights {
  readonly model: string;
  readonly version: number;
  /** Upper bound of the time since the version was published. */
  readonly publishedForMs: number;
  /**
   * True if the sender knows of no process that could read the store around the
   * publication.
   */
  readonly isAfterOutage?: boolean | undefined;
}

/** Requests what a peer's published state has beyond the asking one's. */
export interface DirectoryAskNotice {
  readonly topic: "directory_ask";
  readonly askId: number;
  readonly revision: number;
  /** Era of the store to which the revision belongs; absent for era 0. */
  readonly era?: number | undefined;
  readonly configVersion?: number | undefined;
  /** True if only the publication times of versions are requested. */
  readonly isForDates?: boolean | undefined;
  /**
   * True if renewed records that say nothing new are to be left out, and the
   * digest of the state is requested.
   */
  readonly isForContent?: boolean | undefined;
}

/** `askId` of a reply that is sent without an ask, as news. */
export const NEWS_ASK_ID = 0;

export interface DirectoryReplyNotice {
  readonly topic: "directory_reply";
  readonly askId: number;
  readonly revision: number;
  /** Era of the store to which the revision belongs; absent for era 0. */
  readonly era?: number | undefined;
  readonly configVersion?: number | undefined;
  /** Age of the sender's state when it replied; absent if it is not known. */
  readonly ageMs?: number | undefined;
  /** True while the store may lack changes that it has acknowledged. */
  readonly isUnsettled?: boolean | undefined;
  /** The compressed state; absent if it is not later than requested. */
  readonly state?: Uint8Array | undefined;
  /** True if `state` holds only the changes since the requested revision. */
  readonly isPartial?: boolean | undefined;
  /** True if the sender reads the store itself, and reaches it. */
  readonly isReading?: boolean | undefined;
  /** Of the sender's state, if the ask was for content. */
  readonly digest?: number | undefined;
  /** Versions whose time of publication the sender can bound. */
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

export const subscribeNoticeSchema = z.object({
  topic: z.literal("subscribe"),
  isWanted: z.boolean(),
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
  sharePerS: z.number().nonnegative().optional(),
});

export const rateAskNoticeSchema = z.object({
  topic: z.literal("rate_ask"),
  askId: z.number().int(),
  ratePerS: z.number().nonnegative(),
});

export const rateGrantNoticeSchema = z.object({
  topic: z.literal("rate_grant"),
  askId: z.number().int(),
  address: z.string(),
  ratePerS: z.number().nonnegative(),
});

const fleetWeightsSchema = z.object({
  model: z.string(),
  version: z.number().int(),
  publishedForMs: z.number(),
  isAfterOutage: z.boolean().optional(),
});

export const fleetNoticeSchema = z.object({
  topic: z.literal("fleet"),
  revision: z.number(),
  era: z.number().int().optional(),
  configVersion: z.number().int().optional(),
  services: z.array(
    z.object({
      name: z.string(),
      models: z.array(z.string()),
      chunkCount: z.number().int().nonnegative(),
      chunkBytes: z.number().int().nonnegative(),
      coldLimitPerS: z.number().nonnegative().optional(),
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
  era: z.number().int().optional(),
  configVersion: z.number().int().optional(),
  isForDates: z.boolean().optional(),
  isForContent: z.boolean().optional(),
});

export const directoryReplyNoticeSchema = z.object({
  topic: z.literal("directory_reply"),
  askId: z.number().int(),
  revision: z.number().int(),
  era: z.number().int().optional(),
  configVersion: z.number().int().optional(),
  ageMs: z.number().nonnegative().optional(),
  isUnsettled: z.boolean().optional(),
  state: z.instanceof(Uint8Array).optional(),
  isPartial: z.boolean().optional(),
  isReading: z.boolean().optional(),
  digest: z.number().optional(),
  wantedWeights: z.array(fleetWeightsSchema).optional(),
});
