/** Weight distribution: manifests, chunk cache and transfers between agents. */

export { chooseWeightPeers } from "./choose_weight_peers.ts";
export type { LocalAgent } from "./choose_weight_peers.ts";
export { createWeights } from "./create_weights.ts";
export type { WeightsOptions, WeightsPolicy } from "./create_weights.ts";
export { computeDigest } from "./digest.ts";
export type { FetchLimits, FetchResult } from "./fetch_result.ts";
export { encodeManifest } from "./manifest.ts";
export type { TransferPatience } from "./patience.ts";
export { createStoreClient } from "./store_client.ts";
export type { StoreClient } from "./store_client.ts";
export type {
  TransferProgress,
  WantedVersion,
  WeightPeer,
  Weights,
  WeightsNode,
} from "./weights.ts";
