/**
 * Notices come from processes of other versions too; what lacks a needed field
 * is ignored.
 */

import { z } from "zod";
import type { CrashNotice, LoadNotice, Notice } from "../wire/mod.ts";

const loadSchema = z.looseObject({
  topic: z.literal("load"),
  sequence: z.number(),
  phase: z.string(),
  versionDigest: z.string().optional(),
  inFlight: z.number().nonnegative(),
  queued: z.number().nonnegative(),
  limit: z.number().nonnegative(),
});

const crashSchema = z.looseObject({
  topic: z.literal("crash"),
  fingerprint: z.string().max(128),
  endpoint: z.string().max(256),
  expiresAtMs: z.number(),
});

export function parseLoadNotice(notice: Notice): LoadNotice | undefined {
  const parsed = loadSchema.safeParse(notice);
  return parsed.success ? (notice as LoadNotice) : undefined;
}

export function parseCrashNotice(notice: Notice): CrashNotice | undefined {
  const parsed = crashSchema.safeParse(notice);
  return parsed.success ? (notice as CrashNotice) : undefined;
}
