/**
 * The published state as this process knows it: configuration, endpoints,
 * evacuations and wanted weights, kept current from the platform's store.
 */

export { createAgeClock } from "./age_clock.ts";
export type { AgeClock, ClockPair } from "./age_clock.ts";
export { createDirectory } from "./directory.ts";
export type {
  Directory,
  DirectoryOptions,
  DirectoryUpdate,
  ListedEndpoint,
  WantedWeights,
} from "./directory.ts";
export { startDirectoryReader } from "./directory_reader.ts";
export type { DirectoryReader } from "./directory_reader.ts";
export type * from "./records.ts";
export { createStoreOutageTracker } from "./store_outage_tracker.ts";
export type { StoreOutageTracker } from "./store_outage_tracker.ts";
export type {
  MetadataStore,
  StoreChanges,
  StoreFailure,
  WatchOptions,
} from "./store.ts";
