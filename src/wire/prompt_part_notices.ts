/**
 * Notices between entries about prompt parts that may crash endpoints. Times
 * are sent as durations, because the clocks of two hosts may differ.
 */

import { z } from "zod";

const MAX_PART_LENGTH = 64;
const MAX_PARTS = 32;
const partSchema = z.string().min(1).max(MAX_PART_LENGTH);
const durationSchema = z.number().nonnegative();

/** A request with these parts was broken off by the end of its endpoint. */
export const partCrashNoticeSchema = z.object({
  topic: z.literal("part_crash"),
  /** Incarnation of the endpoint, which can crash only once. */
  endpoint: z.string().max(256),
  /** Distinguishes the requests; repeats of a request share it. */
  request: z.string().max(128),
  parts: z.array(partSchema).max(MAX_PARTS),
  ageMs: durationSchema,
});
export type PartCrashNotice = Readonly<z.infer<typeof partCrashNoticeSchema>>;

/** Requests with this part are refused from now on. */
export const partQuarantinedNoticeSchema = z.object({
  topic: z.literal("part_quarantined"),
  part: partSchema,
  /** Time until the first entry may try the part again. */
  remainingMs: durationSchema,
  periodMs: durationSchema,
  /** Other parts that explain the same crashes as well. */
  rivals: z.array(partSchema).max(MAX_PARTS),
});
export type PartQuarantinedNotice = Readonly<
  z.infer<typeof partQuarantinedNoticeSchema>
>;

/** Later crashes have shown that they have another cause. */
export const partReleasedNoticeSchema = z.object({
  topic: z.literal("part_released"),
  part: partSchema,
});
export type PartReleasedNotice = Readonly<
  z.infer<typeof partReleasedNoticeSchema>
>;

/** The sender lets one request with the part run. */
export const partTrialNoticeSchema = z.object({
  topic: z.literal("part_trial"),
  part: partSchema,
});
export type PartTrialNotice = Readonly<z.infer<typeof partTrialNoticeSchema>>;

/** Requests with these parts have run without a crash, the last one then. */
export const partSurvivedNoticeSchema = z.object({
  topic: z.literal("part_survived"),
  parts: z.array(partSchema).max(MAX_PARTS),
  ageMs: durationSchema,
});
export type PartSurvivedNotice = Readonly<
  z.infer<typeof partSurvivedNoticeSchema>
>;

export const promptPartNoticeSchemas = [
  partCrashNoticeSchema,
  partQuarantinedNoticeSchema,
  partReleasedNoticeSchema,
  partTrialNoticeSchema,
  partSurvivedNoticeSchema,
] as const;
export type PromptPartNotice =
  | PartCrashNotice
  | PartQuarantinedNotice
  | PartReleasedNotice
  | PartTrialNotice
  | PartSurvivedNotice;

export const PROMPT_PART_TOPICS = [
  "part_crash",
  "part_quarantined",
  "part_released",
  "part_trial",
  "part_survived",
] as const satisfies readonly PromptPartNotice["topic"][];
