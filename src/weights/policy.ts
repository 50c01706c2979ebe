/**
 * Decides which chunk the task of one source (a peer or the store) fetches
 * next. A policy is a pure function of the view, so that policies can be
 * compared.
 */

import type { TopologyLevel } from "./assignments.ts";

export interface Source {
  readonly kind: "store" | "peer";
  /** Network distance of the source from this agent. */
  readonly distance: "data_centre" | "region" | "other_region";
  /** True if the source holds the chunk. */
  has(index: number): boolean;
  /** Bytes that a peer has sent, as a multiple of the version's size. */
  sentCopies(): number;
}

export interface TransferView {
  readonly nowMs: number;
  readonly source: Source;
  readonly chunkCount: number;
  /** Requests in flight to all peers. */
  readonly peerRequestsInFlight: number;
  isHeld(index: number): boolean;
  /** True if the chunk is neither held nor requested. */
  needsRequest(index: number): boolean;
  /** Number of connected agents that hold the chunk, without this one. */
  countHolders(level: TopologyLevel, index: number): number;
  /** True if another available holder has sent much less. */
  hasLessUsedHolder(index: number): boolean;
  /** True if this agent ranks first for fetching the chunk into the level. */
  isAssigned(level: TopologyLevel, index: number): boolean;
  /** True if this agent may fetch the chunk into the level now. */
  canFetch(level: TopologyLevel, index: number): boolean;
  /** Chunks that the whole fleet may download from the store at one time. */
  readonly storeWindowChunks: number;
  /** Time at which this agent's share of the region link is free again. */
  readonly regionLinkFreeAtMs: number;
  /** Returns a number in [0, 1). */
  random(): number;
}

export type Decision =
  | { readonly type: "fetch"; readonly index: number }
  | { readonly type: "wait"; readonly untilMs: number };

export type Policy = (view: TransferView) => Decision;

/** Upper bound for a waiting task, which is also woken on every change. */
export const MAX_WAIT_MS = 250;

export function decideToWait(view: TransferView, untilMs?: number): Decision {
  const latest = view.nowMs + MAX_WAIT_MS;
  return { type: "wait", untilMs: Math.min(latest, untilMs ?? latest) };
}
