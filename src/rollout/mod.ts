/**
 * Decides when an endpoint switches its model version and performs the switch.
 */

export { createSwitchOrder } from "./switch_order.ts";
export type {
  SwitchDecision,
  SwitchMember,
  SwitchOrder,
  SwitchView,
} from "./switch_order.ts";
export { createRollout } from "./rollout.ts";
export type { Rollout, RolloutOptions, RolloutPhase } from "./rollout.ts";
export type { RolloutTarget } from "./rollout.ts";
