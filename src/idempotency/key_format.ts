/**
 * Idempotency keys are UUIDv7 values (RFC 9562): the first 48 bits are the
 * time in milliseconds, which decides the runner set that a key belongs to.
 */

import { createUuidV7 } from "../uuid/mod.ts";

const UUID_V7 =
  /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/;

export function createKey(nowMs: number): string {
  return createUuidV7(nowMs);
}

/** The canonical (lower-case) form, or undefined if it is not a UUIDv7. */
export function normalizeKey(text: string): string | undefined {
  const key = text.trim().toLowerCase();
  return UUID_V7.test(key) ? key : undefined;
}

/** Time of a canonical key, in milliseconds since the Unix epoch. */
export function readKeyTimeMs(key: string): number {
  return Number.parseInt(key.slice(0, 8) + key.slice(9, 13), 16);
}
