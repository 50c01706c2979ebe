/** How many endpoints of a data centre must stay warm while others switch. */

/** At most so much is out even if nothing is asked of the data centre. */
const MAX_OUT_SHARE = 0.5;
/** So much may be out however busy it is, or it would never switch. */
const MIN_OUT_SHARE = 0.25;
/**
 * Mean load of those that stay. Arrivals come in bunches and prefixes draw
 * requests to one endpoint, so a mean of a half already fills some of them.
 */
const MAX_LOAD_OF_STAYING = 0.5;

export interface Demand {
  readonly endpoints: number;
  /** Load of all of them together, in units of one full endpoint. */
  readonly load: number;
}

/** At least one, so that the only endpoint that serves never switches. */
export function countNeeded({ endpoints, load }: Demand): number {
  const least = endpoints - Math.ceil(endpoints * MAX_OUT_SHARE);
  const most = endpoints - Math.ceil(endpoints * MIN_OUT_SHARE);
  const carrying = Math.ceil(load / MAX_LOAD_OF_STAYING);
  return Math.max(1, Math.min(most, Math.max(least, carrying)));
}
