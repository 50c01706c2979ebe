/**
 * Computes how many endpoints of a data centre must stay warm during a switch.
 */

/**
 * Largest share of endpoints that may be unavailable, even without any load.
 */
const MAX_UNAVAILABLE_SHARE_IDLE = 0.5;
/** May be unavailable at any load, or a busy data centre would never switch. */
const MAX_UNAVAILABLE_SHARE_BUSY = 0.25;
/**
 * Highest mean load of the endpoints that stay. Arrivals are bursty and
 * requests with the same prefix go to the same endpoint, so at a mean of 0.5
 * some of them are already full.
 */
const MAX_MEAN_LOAD_OF_REMAINING = 0.5;

export interface DataCentreLoad {
  readonly endpoints: number;
  /** Total load, in units of one fully loaded endpoint. */
  readonly load: number;
}

/** At least one, so that the only serving endpoint does not switch. */
export function countNeededEndpoints({
  endpoints,
  load,
}: DataCentreLoad): number {
  const minCount =
    endpoints - Math.ceil(endpoints * MAX_UNAVAILABLE_SHARE_IDLE);
  const maxCount =
    endpoints - Math.ceil(endpoints * MAX_UNAVAILABLE_SHARE_BUSY);
  const countForLoad = Math.ceil(load / MAX_MEAN_LOAD_OF_REMAINING);
  return Math.max(1, Math.min(maxCount, Math.max(minCount, countForLoad)));
}
