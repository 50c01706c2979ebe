/**
 * Which version an endpoint should get next, and when it may switch. Under a
 * burst of versions an older one that is nearly there still helps, because the
 * newest may take longer than requests may go on with the one before it.
 */

import type { TargetWeights } from "./fleet_facts.ts";

export interface TargetProgress {
  readonly target: TargetWeights;
  readonly heldShare: number;
  /** True if no chunk has arrived lately. */
  readonly isStalled: boolean;
}

export interface Targets {
  /** The version to fetch, or to hold for others. */
  readonly fetch: TargetWeights | undefined;
  /** The version that the endpoint should switch to when its turn comes. */
  readonly load: TargetWeights | undefined;
}

/**
 * `candidates` are the wanted versions, oldest first. One that has begun to
 * arrive is finished before a newer one is started: the origin may fail before
 * it has sent the newer one, and requests may not go on with the oldest.
 */
export function chooseTargets(
  candidates: readonly TargetProgress[],
  servedVersion: number | undefined,
): Targets {
  const newer = candidates.filter(
    ({ target }) =>
      servedVersion === undefined || target.version > servedVersion,
  );
  const complete = newer.filter(({ heldShare }) => heldShare >= 1).at(-1);
  const missing = newer.filter(
    ({ heldShare, target }) =>
      heldShare < 1 && target.version > (complete?.target.version ?? 0),
  );
  const begun = missing.find(
    ({ heldShare, isStalled }) => heldShare > 0 && !isStalled,
  );
  const fetch = begun ?? missing.at(-1) ?? candidates.at(-1);
  return { fetch: fetch?.target, load: complete?.target };
}

export interface SwitchTurn {
  /** Names of the agents whose endpoints run the model, this one included. */
  readonly members: readonly string[];
  readonly self: string;
  /** Longest time that a version may go on after the next is published. */
  readonly switchWithinMs: number;
}

/** Endpoints switch in this many groups, so that most go on serving. */
const GROUPS = 3;
/**
 * The last group stops taking requests just before entries would send it no
 * more; what it runs by then may finish later.
 */
const LAST_TURN_SHARE = 0.9;
/** No group starts before most endpoints can hold the new version. */
const FIRST_TURN_SHARE = 0.55;

/** Time after publication at which this endpoint may begin to switch. */
export function computeTurnMs(turn: SwitchTurn): number {
  const { members, self, switchWithinMs } = turn;
  const ordered = [...members].sort();
  const group = Math.max(0, ordered.indexOf(self)) % GROUPS;
  const share =
    FIRST_TURN_SHARE +
    ((LAST_TURN_SHARE - FIRST_TURN_SHARE) * group) / (GROUPS - 1);
  return switchWithinMs * share;
}
