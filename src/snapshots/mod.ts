/** Versioned snapshots that processes synchronize by gossip. */

export { applyDelta, deriveDelta } from "./delta.ts";
export type { Delta } from "./delta.ts";
export { createGossip } from "./gossip.ts";
export type { Comparison, Gossip, GossipOptions } from "./gossip.ts";
export { createSnapshotStore } from "./snapshot_store.ts";
export type {
  OfferedSnapshot,
  RejectionReason,
  Snapshot,
  SnapshotStore,
  SnapshotStoreOptions,
  Topic,
} from "./snapshot_store.ts";
