/** Counters of the peer connections of one process. */

import type { Counter, Registry } from "../metrics/mod.ts";

export interface WireCounters {
  readonly bytesSent: Counter;
  readonly bytesReceived: Counter;
  readonly noticesReceived: Counter;
  readonly framesDropped: Counter;
  readonly connectionsClosed: Counter;
}

export function createWireCounters(registry: Registry): WireCounters {
  return {
    bytesSent: registry.counter(
      "peer_sent_bytes_total",
      "Bytes sent to peers by purpose and data centre",
    ),
    bytesReceived: registry.counter(
      "peer_received_bytes_total",
      "Bytes received from peers",
    ),
    noticesReceived: registry.counter(
      "peer_notices_received_total",
      "Notices received from peers by topic",
    ),
    framesDropped: registry.counter(
      "peer_frames_dropped_total",
      "Frames dropped by reason",
    ),
    connectionsClosed: registry.counter(
      "peer_connections_closed_total",
      "Peer connections closed by reason",
    ),
  };
}
