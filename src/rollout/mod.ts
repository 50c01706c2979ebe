/**
 * Decides when an endpoint switches its model version and performs the switch.
 */

export { createSwitchDecider } from "./switch_decider.ts";
export type {
  SwitchDecision,
  SwitchMember,
  SwitchDecider,
  SwitchView,
} from "./switch_decider.ts";
export { createRollout } from "./rollout.ts";
export type { Rollout, RolloutOptions, RolloutPhase } from "./rollout.ts";
export type { RolloutTarget } from "./rollout.ts";
