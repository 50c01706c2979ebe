/** Manifests, the chunk cache and the transfer of weights between agents. */

export type {
  TransferProgress,
  WantedVersion,
  WeightPeer,
  Weights,
} from "./weights.ts";
