/**
 * Counters of bytes exchanged with processes that are not peers: endpoints,
 * the metadata store, the origin of weights. Peer connections have their own
 * counters. Packet headers are not counted, nor are the HTTP heads of calls.
 */

import type { Counter, Registry } from "../metrics/mod.ts";

export interface TrafficCounters {
  /** Labels: `purpose`, and `to`, which is a data centre or a service name. */
  readonly bytesSent: Counter;
  /** Labels: `purpose` and `from`. */
  readonly bytesReceived: Counter;
}

export function createTrafficCounters(registry: Registry): TrafficCounters {
  return {
    bytesSent: registry.counter(
      "traffic_sent_bytes_total",
      "Bytes sent to endpoints by purpose and data centre",
    ),
    bytesReceived: registry.counter(
      "traffic_received_bytes_total",
      "Bytes received from endpoints and the store by purpose and source",
    ),
  };
}
