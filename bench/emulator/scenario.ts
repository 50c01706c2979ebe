/**
 * Scenario of the emulator, read from a day file: the fleet, its load, and
 * faults at given times.
 */

import type { Result } from "neverthrow";
import { z } from "zod";
import { parseYaml } from "../../src/document/mod.ts";
import type { Finding } from "../../src/document/mod.ts";

const secondsSchema = z.number().min(0).max(3_600);
const indexSchema = z.int().min(0).max(100);

/** `index` selects a worker or gateway, counted from 0. */
const faultSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal("store_down"),
    at_s: secondsSchema,
    for_s: secondsSchema,
  }),
  z.strictObject({
    kind: z.literal("store_slow"),
    at_s: secondsSchema,
    for_s: secondsSchema,
    delay_ms: z.number().min(0),
  }),
  z.strictObject({
    kind: z.literal("store_silent"),
    at_s: secondsSchema,
    for_s: secondsSchema,
  }),
  z.strictObject({ kind: z.literal("store_forgets"), at_s: secondsSchema }),
  z.strictObject({
    kind: z.literal("origin_down"),
    at_s: secondsSchema,
    for_s: secondsSchema,
  }),
  z.strictObject({
    kind: z.literal("origin_spoils"),
    at_s: secondsSchema,
    for_s: secondsSchema,
    share: z.number().min(0).max(1),
  }),
  z.strictObject({
    kind: z.literal("version_named"),
    at_s: secondsSchema,
    version: z.int().min(2),
  }),
  z.strictObject({
    kind: z.literal("worker_hangs"),
    at_s: secondsSchema,
    for_s: secondsSchema,
    index: indexSchema,
  }),
  z.strictObject({
    kind: z.literal("worker_crashes"),
    at_s: secondsSchema,
    for_s: secondsSchema,
    index: indexSchema,
  }),
  z.strictObject({
    kind: z.literal("worker_limited"),
    at_s: secondsSchema,
    for_s: secondsSchema,
    index: indexSchema,
    /** Requests per second that it names in its answers. */
    limit_per_s: z.number().min(0).max(10_000),
  }),
  z.strictObject({ kind: z.literal("worker_added"), at_s: secondsSchema }),
  z.strictObject({
    kind: z.literal("gateway_killed"),
    at_s: secondsSchema,
    for_s: secondsSchema,
    index: indexSchema,
  }),
  z.strictObject({
    kind: z.literal("gateway_stopped"),
    at_s: secondsSchema,
    index: indexSchema,
  }),
  z.strictObject({
    kind: z.literal("burst"),
    at_s: secondsSchema,
    for_s: secondsSchema,
    x: z.number().gt(0).max(100),
  }),
  z.strictObject({ kind: z.literal("key_revoked"), at_s: secondsSchema }),
]);

const scenarioSchema = z.strictObject({
  name: z.string(),
  duration_s: z.number().gt(0).max(3_600),
  gateways: z.int().min(1).max(20),
  workers: z.int().min(1).max(100),
  requests_per_s: z.number().gt(0).max(10_000),
  /** Latency objective of the first event; a stream that exceeds it is late. */
  objective_ms: z.number().gt(0),
  /** A stream with a longer pause between events is also late. */
  pause_objective_ms: z.number().gt(0),
  time_limit_ms: z.number().gt(0),
  /** Largest number of retries of a caller. */
  retries: z.int().min(0).max(10),
  worker: z.strictObject({
    slots: z.int().min(1),
    max_waiting: z.int().min(0),
    first_event_ms: z.number().min(0),
    event_interval_ms: z.number().gt(0),
    events: z.int().min(1),
  }),
  faults: z.array(faultSchema).default([]),
});

export type Scenario = Readonly<z.output<typeof scenarioSchema>>;
export type Fault = Scenario["faults"][number];

export function parseScenario(
  text: string,
  file: string,
): Result<Scenario, readonly Finding[]> {
  return parseYaml(text, { file, schema: scenarioSchema });
}
