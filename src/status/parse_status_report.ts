import * as z from "zod";
import type { StatusReport } from "./status_report.ts";

// Unknown keys are ignored: other versions of the system may report more.
const reportSchema = z.object({
  host: z.string(),
  incarnation: z.string(),
  role: z.enum(["entry", "agent"]),
  dataCentre: z.string(),
  service: z.string().optional(),
  config: z
    .object({
      version: z.number(),
      confirmedAgeMs: z.number(),
      dataCentresOut: z.array(z.string()).optional(),
    })
    .optional(),
  phase: z
    .enum(["unknown", "down", "empty", "loading", "cold", "warm", "leaving"])
    .optional(),
  servingDigest: z.string().optional(),
  transfers: z.array(
    z.object({
      manifestDigest: z.string(),
      bytesHeld: z.number(),
      sizeBytes: z.number(),
      chunksHeld: z.number(),
      chunkCount: z.number(),
      bytesPerS: z.number(),
    }),
  ),
  rollout: z.string().optional(),
  inFlight: z.number(),
  rejected: z
    .object({
      version: z.number(),
      findings: z.array(
        z.object({
          file: z.string(),
          line: z.number(),
          column: z.number(),
          path: z.string(),
          message: z.string(),
          fix: z.string(),
        }),
      ),
    })
    .optional(),
});

/** Undefined when `value` is not a status report. */
export function parseStatusReport(value: unknown): StatusReport | undefined {
  const parsed = reportSchema.safeParse(value);
  return parsed.success ? (parsed.data as StatusReport) : undefined;
}
