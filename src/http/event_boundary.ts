/** Boundaries of server-sent events, whose lines end with LF or CRLF. */

const LF = 10;

/** Length of the leading bytes that are complete events. */
export function findCompleteEventsLength(bytes: Buffer): number {
  const last = bytes.length - 1;
  // Endpoints mostly send one complete event at a time.
  if (bytes[last] === LF && bytes[last - 1] === LF) return bytes.length;
  const lf = bytes.lastIndexOf("\n\n");
  const crLf = bytes.lastIndexOf("\n\r\n");
  return Math.max(lf === -1 ? 0 : lf + 2, crLf === -1 ? 0 : crLf + 3);
}
