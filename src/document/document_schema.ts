/** Schema of the environment document in YAML, with snake_case keys. */

import * as z from "zod";

const DEFAULT_MAX_QUEUED = 32;
const DEFAULT_RUNNER_LEAD_S = 86_400;
const DEFAULT_MAX_KEYS = 100_000;

const METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"] as const;

const name = createPatternSchema(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, {
  message: "A name has letters, digits, '.', '_' and '-', at most 63",
  fix: "Choose a name that begins with a letter or a digit",
});
/** Allows the characters that callers may send in the field `model`. */
const modelName = createPatternSchema(/^[A-Za-z0-9][A-Za-z0-9._:/-]{0,126}$/, {
  message: "A name has letters, digits and '._:/-', at most 127",
  fix: "Choose a name that begins with a letter or a digit",
});
const digest = createPatternSchema(/^sha256:[0-9a-f]{64}$/, {
  message: "Malformed digest",
  fix: 'Write "sha256:" and 64 lower-case hexadecimal digits',
});
const sha256 = createPatternSchema(/^[0-9a-f]{64}$/, {
  message: "Malformed SHA-256",
  fix: "Write 64 lower-case hexadecimal digits, in quotes",
});
const pathPrefix = createPatternSchema(/^\/[^\s?#]*$/, {
  message: "A path prefix begins with / and has no space, ? or #",
  fix: 'Write a path such as "/bookings"',
});
const time = z.string().refine(isIsoTime, {
  error: "Expected a time with a time zone",
  params: { fix: "Write an ISO 8601 time such as 2027-01-31T00:00:00Z" },
});
const ratePerS = z.number().gt(0).max(1_000_000_000);
const sizeBytes = z.int().gt(0);
const concurrency = z.int().min(1).max(100_000);

const admission = z.strictObject({
  cold_concurrency: concurrency,
  warm_concurrency: concurrency,
  max_queued: z.int().min(0).max(1_000_000).default(DEFAULT_MAX_QUEUED),
});

export const regionSchema = z.strictObject({ name });

export const dataCentreSchema = z.strictObject({
  name,
  region: name,
  out: z.boolean().default(false),
});

const links = z.strictObject({
  host_mbit_per_s: ratePerS,
  store_mbit_per_s: ratePerS,
  region_mbit_per_s: ratePerS,
});

export const modelSchema = z.strictObject({
  name: modelName,
  versions: z
    .array(z.strictObject({ name: modelName, digest, size_bytes: sizeBytes }))
    .min(1),
  serving_version: modelName,
});

const languageService = z.strictObject({
  kind: z.literal("language"),
  name,
  model: modelName,
  admission,
});

const plainService = z.strictObject({
  kind: z.literal("plain"),
  name,
  admission,
  routes: z
    .array(
      z.strictObject({
        method: z.enum(METHODS),
        path_prefix: pathPrefix,
        // No default: a wrong one could run a payment twice.
        repeatable: z.boolean(),
      }),
    )
    .min(1),
  runner_sets: z
    .array(z.strictObject({ from: time, runners: z.array(name).min(1) }))
    .default([]),
  runner_lead_s: z.int().gt(0).max(31_536_000).default(DEFAULT_RUNNER_LEAD_S),
  max_keys: z.int().gt(0).max(10_000_000).default(DEFAULT_MAX_KEYS),
});

export const serviceSchema = z.discriminatedUnion("kind", [
  languageService,
  plainService,
]);

export const clientAccountSchema = z.strictObject({
  name,
  api_key_sha256: sha256,
  requests_per_s: ratePerS,
  priority: z.int().min(-1_000).max(1_000).default(0),
});

export const documentSchema = z.strictObject({
  environment: name,
  deployment: name,
  regions: z.array(regionSchema).min(1),
  data_centres: z.array(dataCentreSchema).min(1),
  links,
  models: z.array(modelSchema),
  services: z.array(serviceSchema),
  client_accounts: z.array(clientAccountSchema),
});

export type RawDocument = z.output<typeof documentSchema>;
export type RawService = z.output<typeof serviceSchema>;

function createPatternSchema(
  pattern: RegExp,
  { message, fix }: { message: string; fix: string },
) {
  return z
    .string()
    .refine((text) => pattern.test(text), { error: message, params: { fix } });
}

function isIsoTime(text: string): boolean {
  return z.iso.datetime({ offset: true }).safeParse(text).success;
}
