/** The operator command. It reads and prints, and changes no shared state. */

export { fetchJson } from "./fetch_json.ts";
export type { CommandIo } from "./io.ts";
export { runCommand } from "./run_command.ts";
export { readVersion } from "./version.ts";
