/** One endpoint that may receive a request, as the entry sees it now. */

import type { Peer } from "../wire/mod.ts";

export interface Candidate {
  readonly host: string;
  readonly dataCentre: string;
  readonly peer: Peer;
  /** Estimated load plus distance; 1 is a full endpoint in this place. */
  readonly cost: number;
  /** Set for a cold endpoint with a free slot: in this data centre or not. */
  readonly warmUp?: "near" | "far";
}
