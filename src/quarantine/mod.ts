/** Quarantine of requests, and of parts of prompts, that crash endpoints. */

export { createQuarantine } from "./quarantine.ts";
export type { Quarantine, QuarantineOptions } from "./quarantine.ts";
export { createFingerprint } from "./fingerprint.ts";
export type { FingerprintInput } from "./fingerprint.ts";
export { createPromptPartQuarantine } from "./prompt_part_quarantine.ts";
export type {
  PromptPartQuarantine,
  PromptPartQuarantineOptions,
} from "./prompt_part_quarantine.ts";
export type { PartRefusal } from "./quarantined_parts.ts";
export type { BrokenRequest } from "./crash_incidents.ts";
