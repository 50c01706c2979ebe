/** Hop-by-hop headers, which are never forwarded (RFC 9110, 7.6.1). */

export const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "expect",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);
