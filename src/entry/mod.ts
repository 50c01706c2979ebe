/** HTTP interface of the entry, and dispatch of its requests to agents. */

export { createEntry } from "./entry.ts";
export type { Entry, EntryOptions } from "./entry.ts";
export type { EntrySettings } from "./entry_settings.ts";
