/** Interface to the platform's metadata store. */

import type { Result } from "neverthrow";
import type { DirectoryChange } from "./records.ts";
import type { StorePosition } from "./store_position.ts";

export type StoreFailure =
  | "timeout"
  | "connection"
  | "not_listening"
  | "refused"
  /** All processes together send more reads than the store accepts. */
  | "rate_limited"
  | "malformed"
  | "aborted"
  | "too_large"
  /** The store came back from an older copy during the read. */
  | "mixed_eras"
  /** The store no longer has the history after the given revision. */
  | "compacted";

/** Changes with the position up to which they are complete. */
export interface StoreChanges extends StorePosition {
  readonly changes: readonly DirectoryChange[];
}

/**
 * What a watch reports: changes of everything, or only of what operators
 * publish (configuration, evacuations, wanted weights), which changes rarely.
 */
export type WatchScope = "everything" | "operators";

export interface WatchOptions {
  readonly scope: WatchScope;
  readonly afterRevision: number;
  readonly waitMs: number;
  readonly signal: AbortSignal;
}

export interface MetadataStore {
  /** Reads the complete published state; each call reads several pages. */
  readAll(): Promise<Result<StoreChanges, StoreFailure>>;
  /** Long poll: returns on the first change, or after `waitMs`. */
  watch(options: WatchOptions): Promise<Result<StoreChanges, StoreFailure>>;
  /** Linearizable read of the store's current position. */
  readPosition(): Promise<Result<StorePosition, StoreFailure>>;
  close(): Promise<void>;
}
