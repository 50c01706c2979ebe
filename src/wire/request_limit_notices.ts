/**
 * Notices about the request limits that endpoints name, and about the permits
 * that an agent lends to entries. Times are sent as durations, because the
 * clocks of two hosts may differ.
 */

import { z } from "zod";

/** Enough for all limits of a fleet; a longer list is sent in parts. */
export const MAX_LIMITS_IN_NOTICE = 256;
const MAX_PERMITS = 1_000;

/** What an endpoint has stated about its limit, in force or ended. */
const statedLimitSchema = z.object({
  /** "IP:port" of the endpoint. */
  address: z.string().max(64),
  /** Unix milliseconds; with the address it names the incarnation. */
  startedAtMs: z.number().int().optional(),
  /** Requests per second from all entries together; absent for no limit. */
  ratePerS: z.number().nonnegative().optional(),
  /** Age of the request whose response states it. */
  sentAgeMs: z.number().nonnegative(),
  /** Age of the arrival of that response. */
  heardAgeMs: z.number().nonnegative(),
});
export type StatedLimitRecord = Readonly<z.infer<typeof statedLimitSchema>>;

export const requestLimitsNoticeSchema = z.object({
  topic: z.literal("request_limits"),
  limits: z.array(statedLimitSchema).max(MAX_LIMITS_IN_NOTICE),
});
export interface RequestLimitsNotice {
  readonly topic: "request_limits";
  readonly limits: readonly StatedLimitRecord[];
}

/** Asks an agent for permits to send requests to its endpoint. */
export const permitAskNoticeSchema = z.object({
  topic: z.literal("permit_ask"),
  askId: z.number().int(),
  count: z.number().int().positive().max(MAX_PERMITS),
  /** As the entry knows it; the agent may not have heard of it. */
  limit: statedLimitSchema,
});
export type PermitAskNotice = Readonly<z.infer<typeof permitAskNoticeSchema>>;

/** May be sent several times for one ask, until its count is reached. */
export const permitGrantNoticeSchema = z.object({
  topic: z.literal("permit_grant"),
  askId: z.number().int(),
  count: z.number().int().positive().max(MAX_PERMITS),
});
export type PermitGrantNotice = Readonly<
  z.infer<typeof permitGrantNoticeSchema>
>;

export const requestLimitNoticeSchemas = [
  requestLimitsNoticeSchema,
  permitAskNoticeSchema,
  permitGrantNoticeSchema,
] as const;
export type RequestLimitNotice =
  RequestLimitsNotice | PermitAskNotice | PermitGrantNotice;
