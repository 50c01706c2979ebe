/**
 * Turns in which single entries may send one request each to an endpoint that
 * names a request limit, without asking anybody. The time of day is divided into
 * turns by the rate, and rendezvous hashing names one entry for each: two
 * entries that know different members agree on most turns, and an entry whose
 * clock is wrong takes part at the same rate. A turn can be used for some time,
 * as requests do not come in the very moment.
 */

import { computeSeed, scorePair } from "../hashing/mod.ts";
import { PERMIT_VALID_MS } from "./permit_lender.ts";

/** Bounds the work for each look at the turns; few endpoints take as many. */
const MAX_TURNS_PER_S = 200;

/** The turns up to this one have been looked at. */
export interface TurnPosition {
  readonly ratePerS: number;
  readonly index: number;
}

export interface ClaimedTurns {
  readonly position: TurnPosition;
  /** For each turn of this entry: the time for which it can still be used. */
  readonly validForMs: readonly number[];
}

export interface TurnOptions {
  readonly endpoint: string;
  readonly ratePerS: number;
  readonly wallMs: number;
  readonly ownHost: string;
  readonly otherHosts: readonly string[];
}

/** The turns of this entry since `last`, or the current one at the first look. */
export function claimTurns(
  options: TurnOptions,
  last?: TurnPosition,
): ClaimedTurns {
  const { wallMs } = options;
  const ratePerS = Math.min(options.ratePerS, MAX_TURNS_PER_S);
  const lengthMs = 1_000 / ratePerS;
  const index = Math.floor(wallMs / lengthMs);
  const usableMs = Math.max(lengthMs, PERMIT_VALID_MS);
  const isContinued =
    last?.ratePerS === ratePerS && isReached(last.index, index, lengthMs);
  const oldest = Math.floor((wallMs - usableMs) / lengthMs) + 1;
  const first = isContinued ? Math.max(last.index + 1, oldest) : index;
  const validForMs = Array.from(
    { length: Math.max(0, index - first + 1) },
    (_, step) => first + step,
  )
    .filter((turn) => isOwnTurn(turn, options))
    .map((turn) => turn * lengthMs + usableMs - wallMs);
  return { position: { ratePerS, index }, validForMs };
}

/** False after the time of day has been set back. */
function isReached(lastIndex: number, index: number, lengthMs: number) {
  return (lastIndex - index) * lengthMs < PERMIT_VALID_MS;
}

function isOwnTurn(
  index: number,
  { endpoint, ownHost, otherHosts }: TurnOptions,
): boolean {
  // The index has more than 32 bits at high rates, of which the low ones count.
  const seed = scorePair(computeSeed(endpoint), index % 2 ** 32);
  const score = (host: string) => scorePair(seed, computeSeed(host));
  const own = score(ownHost);
  return otherHosts.every((host) => {
    const other = score(host);
    return other < own || (other === own && host > ownHost);
  });
}
