/** What the directory needs of the platform's metadata store. */

import type { Result } from "neverthrow";
import type { DirectoryChange } from "./records.ts";

export type StoreFailure =
  | "timeout"
  | "connection"
  | "refused"
  | "malformed"
  | "aborted"
  /** The history after the given revision is no longer available. */
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
  /** Everything that is published now; each call reads several pages. */
  readAll(): Promise<Result<StoreChanges, StoreFailure>>;
  /** Returns as soon as there is a change, or after the waiting time. */
  watch(options: WatchOptions): Promise<Result<StoreChanges, StoreFailure>>;
  /** The store's current revision; the read is linearizable. */
  readRevision(): Promise<Result<number, StoreFailure>>;
  close(): Promise<void>;
}
