/** Interface to the platform's metadata store. */

import type { Result } from "neverthrow";
import type { DirectoryChange } from "./records.ts";

export type StoreFailure =
  | "timeout"
  | "connection"
  | "refused"
  | "malformed"
  | "aborted"
  /** The store no longer has the history after the given revision. */
  | "compacted";

export interface StoreChanges {
  readonly changes: readonly DirectoryChange[];
  /** Revision up to which these changes are complete. */
  readonly revision: number;
}

export interface WatchOptions {
  readonly afterRevision: number;
  readonly waitMs: number;
  readonly signal: AbortSignal;
}

export interface MetadataStore {
  /** Reads the complete published state; each call reads several pages. */
  readAll(): Promise<Result<StoreChanges, StoreFailure>>;
  /** Long poll: returns on the first change, or after `waitMs`. */
  watch(options: WatchOptions): Promise<Result<StoreChanges, StoreFailure>>;
  /** Linearizable read of the store's current revision. */
  readRevision(): Promise<Result<number, StoreFailure>>;
  close(): Promise<void>;
}
