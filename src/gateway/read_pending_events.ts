/**
 * Lets the event loop read what is pending on the sockets of callers. The end
 * of a connection is read one iteration after the bytes ahead of it. An entry
 * that is behind, for example after a restart, finds both waiting, and would
 * send the request before it sees that the caller has left.
 */

/** Resolves after the event loop has polled all sockets once more. */
export function readPendingEvents(): Promise<void> {
  return new Promise((resolve) => {
    // Immediates run after the poll, so the second one runs after the next.
    setImmediate(() => setImmediate(resolve));
  });
}
