/** Manifests, the chunk cache and the transfer of weights between agents. */

export { chooseWeightPeers } from "./choose_weight_peers.ts";
export type { WeightSelf } from "./choose_weight_peers.ts";
export { createWeights } from "./create_weights.ts";
export type { WeightsOptions, WeightsPolicy } from "./create_weights.ts";
export type {
  TransferProgress,
  WantedVersion,
  WeightPeer,
  Weights,
} from "./weights.ts";
