/**
 * Compares this host's clock with those of its peers. The floor of
 * idempotency keys allows for 1 s between the clocks of a host and its
 * replacement, so each clock must be within half of that of the others.
 */

import type { Logger } from "../logging/mod.ts";
import type { Registry } from "../metrics/mod.ts";
import type { Peer } from "../wire/mod.ts";

/** 500 ms minus the error of a sample, which is at most 150 ms. */
const MAX_SKEW_MS = 350;

export interface ClockSkew {
  /**
   * True if the median of the peers' clocks differs too much from this clock;
   * false until a peer's clock has been sampled.
   */
  isTooLarge(): boolean;
}

export interface ClockSkewOptions {
  readonly peers: () => readonly Pick<Peer, "clockAheadMs">[];
  readonly registry: Registry;
  readonly logger: Logger;
}

export function createClockSkew(options: ClockSkewOptions): ClockSkew {
  const { peers, registry, logger } = options;
  let wasTooLarge = false;

  function readMedianMs(): number | undefined {
    const samples = peers()
      .map((peer) => peer.clockAheadMs?.())
      .filter((aheadMs) => aheadMs !== undefined)
      .sort((a, b) => a - b);
    const middle = (samples.length - 1) / 2;
    const [low, high] = [Math.floor(middle), Math.ceil(middle)];
    if (samples.length === 0) return undefined;
    return (samples[low]! + samples[high]!) / 2;
  }

  registry.gauge(
    "clock_skew_seconds",
    "Median of the peers' clocks minus the clock of this process",
    () => (readMedianMs() ?? 0) / 1000,
  );

  return {
    isTooLarge() {
      const skewMs = readMedianMs() ?? 0;
      const isTooLarge = Math.abs(skewMs) > MAX_SKEW_MS;
      if (isTooLarge && !wasTooLarge) {
        logger.error({ skewMs }, "Clock skew against peers exceeds the limit");
      }
      wasTooLarge = isTooLarge;
      return isTooLarge;
    },
  };
}
