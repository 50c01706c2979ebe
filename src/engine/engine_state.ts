/** The state that a model engine reports; it may be out of date. */

import * as z from "zod";

/**
 * Fencing token: the configuration version, then the incarnation of the agent
 * that sent the order.
 */
export type Fencing = readonly [number, string];

const engineStateSchema = z.object({
  boot_id: z.string(),
  phase: z.enum(["empty", "loading", "cold", "warm"]),
  version_digest: z.string().nullish(),
  in_flight: z.number().int().nonnegative(),
  queued: z.number().int().nonnegative(),
  // An engine that ignores fencing may report any value or none.
  fencing: z.unknown().optional(),
  reported_at_ms: z.number(),
});

export interface EngineState {
  readonly bootId: string;
  readonly phase: "empty" | "loading" | "cold" | "warm";
  readonly versionDigest?: string;
  readonly inFlight: number;
  readonly queued: number;
  readonly fencing?: Fencing;
  readonly reportedAtMs: number;
}

const fencingSchema = z.tuple([z.number().int(), z.string()]);

export function parseEngineState(value: unknown): EngineState | undefined {
  const parsed = engineStateSchema.safeParse(value);
  if (!parsed.success) return undefined;
  const { data } = parsed;
  const fencing = fencingSchema.safeParse(data.fencing);
  return {
    bootId: data.boot_id,
    phase: data.phase,
    inFlight: data.in_flight,
    queued: data.queued,
    reportedAtMs: data.reported_at_ms,
    ...(typeof data.version_digest === "string" && data.version_digest !== ""
      ? { versionDigest: data.version_digest }
      : {}),
    ...(fencing.success ? { fencing: fencing.data } : {}),
  };
}
