/** HTTP rules that all parts of the system share. */

export { HOP_HEADERS } from "./hop_headers.ts";
export { hasBody, hasCloseDelimitedBody } from "./framing.ts";
export type { HttpHeaders } from "./framing.ts";
