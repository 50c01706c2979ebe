/**
 * This process's copy of the published state (configuration, endpoints,
 * evacuations and wanted weights), kept up to date from the platform's store.
 */

export { createAgeClock } from "./age_clock.ts";
export type { AgeClock, ClockPair } from "./age_clock.ts";
export { createDirectory } from "./directory.ts";
export type {
  Directory,
  DirectoryOptions,
  DirectoryUpdate,
} from "./directory.ts";
export type { ListedEndpoint } from "./endpoint_list.ts";
export type { PublicationBound } from "./publication_bounds.ts";
export { startDirectoryReader } from "./directory_reader.ts";
export type { DirectoryReader } from "./directory_reader.ts";
export type * from "./records.ts";
export {
  comparePositions,
  isOfFormerEra,
  isSameEra,
  pickPosition,
} from "./store_position.ts";
export type { StorePosition } from "./store_position.ts";
export { createStoreOutage } from "./store_outage.ts";
export type { OutageSpan, StoreOutage } from "./store_outage.ts";
export type {
  MetadataStore,
  StoreChanges,
  StoreFailure,
  WatchOptions,
} from "./store.ts";
export type { WantedWeights } from "./wanted_weights.ts";
