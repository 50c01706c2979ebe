/** Results of the earlier attempts at one request. */

import type { Refusal } from "./refusal.ts";

export interface RequestHistory {
  readonly triedHosts: Set<string>;
  readonly outDataCentres: Set<string>;
  attemptCount: number;
  lostEndpointCount: number;
  /** Undefined before the first attempt has failed. */
  lastFailure: Refusal | undefined;
  /** The last failure of an attempt that the endpoint may have run. */
  unknownOutcomeFailure: Refusal | undefined;
  /** Digest of the model version of the response that has started. */
  versionDigest: string | undefined;
}

export function createRequestHistory(): RequestHistory {
  return {
    triedHosts: new Set(),
    outDataCentres: new Set(),
    attemptCount: 0,
    lostEndpointCount: 0,
    lastFailure: undefined,
    unknownOutcomeFailure: undefined,
    versionDigest: undefined,
  };
}
