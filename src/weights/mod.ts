/** Weight distribution: manifests, chunk cache and transfers between agents. */

export { chooseWeightPeers } from "./choose_weight_peers.ts";
export type { LocalAgent } from "./choose_weight_peers.ts";
export { createWeightDistributor } from "./create_weight_distributor.ts";
export type {
  WeightDistributorOptions,
  WeightsPolicy,
} from "./create_weight_distributor.ts";
export { computeDigest } from "./digest.ts";
export type { FetchLimits, FetchResult } from "./fetch_result.ts";
export { encodeManifest } from "./manifest.ts";
export type { TransferTimeouts } from "./transfer_timeouts.ts";
export { createStoreClient } from "./store_client.ts";
export type { StoreClient } from "./store_client.ts";
export type {
  TransferProgress,
  WantedVersion,
  WeightPeer,
  WeightDistributor,
  WeightDistributorNode,
} from "./weight_distributor.ts";
