/** Digests of manifests and chunks: "sha256:" and 64 hexadecimal digits. */

import { createHash } from "node:crypto";

const PATTERN = /^sha256:[0-9a-f]{64}$/;

export function computeDigest(bytes: Uint8Array): string {
  return `sha256:${createHash("sha256").update(bytes).digest("hex")}`;
}

export function isDigest(value: string): boolean {
  return PATTERN.test(value);
}
