/**
 * What the task of one source of chunks (a peer or the store) does next. A
 * policy is a plain function of the view, so that policies can be compared.
 */

import type { TopologyLevel } from "./assignments.ts";

export interface Source {
  readonly kind: "store" | "peer";
  /** Where a peer is, seen from this agent. */
  readonly distance: "data_centre" | "region" | "other_region";
  /** True for chunks that the source can send. */
  has(index: number): boolean;
  /** Share of the version's bytes that a peer has already sent, in copies. */
  sentCopies(): number;
}

export interface TransferView {
  readonly nowMs: number;
  readonly source: Source;
  readonly chunkCount: number;
  /** Requests to peers that are in flight, over all sources. */
  readonly peerRequestsInFlight: number;
  isHeld(index: number): boolean;
  /** True if the chunk is neither held nor requested. */
  needsRequest(index: number): boolean;
  /** Connected agents that hold the chunk, this one excluded. */
  countHolders(level: TopologyLevel, index: number): number;
  /** True if another holder can serve now and has sent much less. */
  hasLessUsedHolder(index: number): boolean;
  /** True if no other agent should fetch the chunk before this one. */
  isAssigned(level: TopologyLevel, index: number): boolean;
  /** Whether this agent may fetch the chunk into the level now. */
  canFetch(level: TopologyLevel, index: number): boolean;
  /** Chunks that the whole fleet may have in flight from the store. */
  readonly storeWindowChunks: number;
  /** Time from which this agent's share of the region link has room. */
  readonly regionLinkFreeAtMs: number;
  /** In [0, 1). */
  random(): number;
}

export type Decision =
  | { readonly type: "fetch"; readonly index: number }
  | { readonly type: "wait"; readonly untilMs: number };

export type Policy = (view: TransferView) => Decision;

/** A waiting task is woken on every change; this bounds the wait otherwise. */
export const MAX_WAIT_MS = 250;

export function decideToWait(view: TransferView, untilMs?: number): Decision {
  const latest = view.nowMs + MAX_WAIT_MS;
  return { type: "wait", untilMs: Math.min(latest, untilMs ?? latest) };
}
