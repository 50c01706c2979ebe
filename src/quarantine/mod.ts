/** Quarantine of requests that crashed endpoints. */

export { createQuarantine } from "./quarantine.ts";
export type { Quarantine, QuarantineOptions } from "./quarantine.ts";
export { createFingerprint } from "./fingerprint.ts";
export type { FingerprintInput } from "./fingerprint.ts";
