/** An endpoint that may receive a request. */

import type { Peer } from "../wire/mod.ts";

export interface Candidate {
  readonly host: string;
  readonly dataCentre: string;
  readonly peer: Peer;
  /** Estimated load plus distance cost; 1 is a full endpoint at distance 0. */
  readonly cost: number;
  /** Set for a cold endpoint with a free slot; near is in this data centre. */
  readonly warmUp?: "near" | "far";
}
