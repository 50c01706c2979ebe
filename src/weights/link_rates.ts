/**
 * Link rates: that of the host from the settings or the document, those of the
 * store and between regions from the document.
 */

import type { Registry } from "../metrics/mod.ts";
import { createWireCounters } from "../wire/mod.ts";
import { createLinkRateLimiter } from "./link_rate_limiter.ts";
import type { WeightDistributorNode } from "./weight_distributor.ts";

export interface LinkOptions {
  readonly node: WeightDistributorNode;
  readonly registry: Registry;
  /** For a host whose link is slower than the rate in the document. */
  readonly hostUpMbitPerS?: number | undefined;
  readonly hostDownMbitPerS?: number | undefined;
}

const BYTES_PER_MBIT = 125_000;
/** Used until the first document is accepted. */
const DEFAULT_LINK_MBIT_PER_S = 1_000;

/**
 * The wire counters include all peer traffic of this process, also that of live
 * requests.
 */
export function createHostRateLimiters(
  options: LinkOptions,
  nowMs: () => number,
) {
  const wire = createWireCounters(options.registry);
  return {
    up: createLinkRateLimiter({
      readBytesPerS: () => readHostBytesPerS(options, "up"),
      readTransferredBytes: () =>
        wire.bytesSent.samples().reduce((sum, sample) => sum + sample.value, 0),
      nowMs,
    }),
    down: createLinkRateLimiter({
      readBytesPerS: () => readHostBytesPerS(options, "down"),
      readTransferredBytes: () => wire.bytesReceived.read({}),
      nowMs,
    }),
  };
}

export function readHostBytesPerS(
  options: LinkOptions,
  direction: "up" | "down",
): number {
  const links = options.node.view.config()?.document.links;
  const configuredLimit =
    direction === "up" ? options.hostUpMbitPerS : options.hostDownMbitPerS;
  return (
    Math.min(
      links?.hostMbitPerS ?? DEFAULT_LINK_MBIT_PER_S,
      configuredLimit ?? Infinity,
    ) * BYTES_PER_MBIT
  );
}

export function readLinkRates(node: WeightDistributorNode) {
  const links = node.view.config()?.document.links;
  return {
    storeBytesPerS:
      (links?.storeMbitPerS ?? DEFAULT_LINK_MBIT_PER_S) * BYTES_PER_MBIT,
    regionBytesPerS:
      (links?.regionMbitPerS ?? DEFAULT_LINK_MBIT_PER_S) * BYTES_PER_MBIT,
  };
}
