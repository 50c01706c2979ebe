/** What earlier attempts at one request have shown. */

import type { Refusal } from "./refusal.ts";

export interface RequestHistory {
  readonly tried: Set<string>;
  readonly outDataCentres: Set<string>;
  attempts: number;
  lostEndpoints: number;
  /** Why the last attempt failed; undefined before the first. */
  failure: Refusal | undefined;
  /** The failure of an attempt that may have run. */
  loss: Refusal | undefined;
  /** Digest of the answer that has started. */
  versionDigest: string | undefined;
}

export function createHistory(): RequestHistory {
  return {
    tried: new Set(),
    outDataCentres: new Set(),
    attempts: 0,
    lostEndpoints: 0,
    failure: undefined,
    loss: undefined,
    versionDigest: undefined,
  };
}
