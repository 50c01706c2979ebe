/** HTTP rules that all parts of the system share. */

export { isFinalStatus, isInformationalStatus } from "./final_status.ts";
export { findCompleteEventsLength } from "./event_boundary.ts";
export { HOP_BY_HOP_HEADERS } from "./hop_by_hop_headers.ts";
export { formatAddress, listenAt, splitAddress } from "./listen.ts";
export { hasBody, hasCloseDelimitedBody } from "./framing.ts";
export type { HttpHeaders } from "./framing.ts";
