/** The entry's HTTP interface and its dispatch of requests to agents. */

export { createEntry } from "./entry.ts";
export type { Entry, EntryOptions } from "./entry.ts";
export type { EntrySettings } from "./entry_settings.ts";
