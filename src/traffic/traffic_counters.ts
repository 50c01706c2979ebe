/**
 * Bytes of calls to processes that are not peers: endpoints, the metadata
 * store, the origin of weights. Peer connections count their own. The figures
 * leave out packet headers, and of calls also the heads of HTTP messages.
 */

import type { Counter, Registry } from "../metrics/mod.ts";

export interface TrafficCounters {
  /** Labels: `purpose` and `to`, a data centre or the name of a service. */
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
