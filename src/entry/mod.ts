/** The entry's HTTP interface and its dispatch of requests to agents. */

export { createEntry } from "./entry.ts";
export type { Entry, EntryOptions } from "./entry.ts";
export type { EntrySettings } from "./entry_settings.ts";
export { runEntry } from "./run_entry.ts";
export type { RunEntryOptions } from "./run_entry.ts";
