/**
 * UUIDv7 (RFC 9562): the first 48 bits are the time in milliseconds, so later
 * values sort higher.
 */

import { randomBytes } from "node:crypto";

const TIME_BYTES = 6;

export function createUuidV7(nowMs: number): string {
  const bytes = randomBytes(16);
  bytes.writeUIntBE(Math.floor(nowMs), 0, TIME_BYTES);
  bytes[6] = (bytes[6]! & 0x0f) | 0x70;
  bytes[8] = (bytes[8]! & 0x3f) | 0x80;
  const hex = bytes.toString("hex");
  return [
    hex.slice(0, 8),
    hex.slice(8, 12),
    hex.slice(12, 16),
    hex.slice(16, 20),
    hex.slice(20),
  ].join("-");
}
