/** Fingerprints of equal requests, to recognise one that crashes endpoints. */

import { createHash } from "node:crypto";

export interface FingerprintInput {
  readonly clientAccount: string;
  readonly method: string;
  readonly path: string;
  readonly body: Uint8Array;
}

/** SHA-256, hexadecimal. */
export function createFingerprint(input: FingerprintInput): string {
  const { clientAccount, method, path, body } = input;
  return createHash("sha256")
    .update(JSON.stringify([clientAccount, method, path]))
    .update(body)
    .digest("hex");
}
