/** The environment document: types, parsing, checks, diff and promotion. */

export type * from "./environment_document.ts";
export { formatFinding } from "./finding.ts";
export type { Finding } from "./finding.ts";
