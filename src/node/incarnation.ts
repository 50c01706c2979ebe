/** A UUIDv7: a later process start sorts higher. */

import { randomBytes } from "node:crypto";

export function createIncarnation(nowMs: number): string {
  const bytes = randomBytes(16);
  bytes.writeUIntBE(Math.floor(nowMs), 0, 6);
  bytes.writeUInt8((bytes.readUInt8(6) & 0x0f) | 0x70, 6);
  bytes.writeUInt8((bytes.readUInt8(8) & 0x3f) | 0x80, 8);
  const hex = bytes.toString("hex");
  return [
    hex.slice(0, 8),
    hex.slice(8, 12),
    hex.slice(12, 16),
    hex.slice(16, 20),
    hex.slice(20),
  ].join("-");
}
