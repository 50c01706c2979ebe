/**
 * Which version an endpoint should get next, and when it may switch. Under a
 * burst of versions an older one that is nearly there still helps, because the
 * newest may take longer than requests may go on with the one before it.
 */

import type { TargetWeights } from "./fleet_facts.ts";

/** A transfer with this share of its chunks is finished before a newer one. */
const NEARLY_COMPLETE_SHARE = 0.5;

export interface TargetProgress {
  readonly target: TargetWeights;
  readonly heldShare: number;
}

/** Undefined when the endpoint serves the newest version. */
export function chooseTarget(
  candidates: readonly TargetProgress[],
  servedVersion: number | undefined,
): TargetWeights | undefined {
  const newer = candidates.filter(
    ({ target }) =>
      servedVersion === undefined || target.version > servedVersion,
  );
  const newest = newer.at(-1);
  if (newest === undefined || newest.heldShare >= 1) return newest?.target;
  const nearly = newer.filter(
    ({ heldShare }) => heldShare >= NEARLY_COMPLETE_SHARE,
  );
  const best = nearly.at(-1);
  return best !== undefined && best.heldShare > newest.heldShare
    ? best.target
    : newest.target;
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
