/**
 * Records the results of requests to each source of a transfer: which peers are
 * excluded or distrusted, and when each source can be asked again.
 */

import type { FetchResult } from "./fetch_result.ts";
import { createRetryTimes } from "./retry_times.ts";
import type { TransferContext } from "./transfer_context.ts";

/**
 * A connection without traffic is closed after 6 s, and a stalled request is
 * stopped after 2 s. 4 s later the peer has either been disconnected or is
 * responsive again; an earlier request would probably stall for another 2 s.
 */
const STALL_RETRY_DELAY_MS = 4_000;

/** Name of the weight store as a source; peers are named by their host. */
export const STORE_NAME = "";

export interface SourceOutcomes {
  /** True for a peer that has sent corrupt data; it is not asked again. */
  isExcluded(host: string): boolean;
  /**
   * True for an excluded peer and for one with failures since its last
   * successful request. Its chunks do not count as held until one succeeds.
   */
  isDistrusted(host: string): boolean;
  readyAtMs(name: string): number;
  defer(name: string, delayMs: number): void;
  /** Returns the bytes of a successful request; records a failure. */
  recordResult(name: string, result: FetchResult): Uint8Array | undefined;
  recordCorruption(name: string): void;
  recordSuccess(name: string): void;
}

export interface SourceOutcomesOptions {
  readonly context: TransferContext;
  readonly manifestDigest: string;
  readonly isEnded: () => boolean;
  /** Called when the trust in a peer may have changed. */
  readonly onChange: () => void;
}

export function createSourceOutcomes(
  options: SourceOutcomesOptions,
): SourceOutcomes {
  const { manifestDigest, isEnded, onChange } = options;
  const { counters, changes, logger, nowMs, random } = options.context;
  const { maxBackoffMs } = options.context.timeouts;
  const retries = createRetryTimes({ nowMs, random, maxBackoffMs });
  const excluded = new Set<string>();

  function recordResult(
    name: string,
    result: FetchResult,
  ): Uint8Array | undefined {
    if (isEnded()) return undefined;
    if (result.type === "ok") return result.bytes;
    const source = describeSource(name);
    if (result.type === "refused") {
      if (source === "store") {
        retries.backOff(name);
        counters.failedRequests.increment({ source, reason: result.code });
      }
      retries.defer(name, result.retryAfterMs);
      return undefined;
    }
    counters.failedRequests.increment({ source, reason: result.reason });
    if (result.type === "corrupt") recordCorruption(name);
    else retries.backOff(name);
    if (result.reason === "stalled") retries.defer(name, STALL_RETRY_DELAY_MS);
    onChange();
    return undefined;
  }

  function recordCorruption(name: string) {
    const source = describeSource(name);
    counters.corruptChunks.increment({ source });
    logger.warn({ source, host: name, manifestDigest }, "Corrupt chunk");
    if (source === "store") return retries.backOff(name);
    excluded.add(name);
    onChange();
    changes.notify();
  }

  return {
    isExcluded: (host) => excluded.has(host),
    isDistrusted: (host) =>
      excluded.has(host) || retries.countFailures(host) > 0,
    readyAtMs: retries.readyAtMs,
    defer: retries.defer,
    recordResult,
    recordCorruption,
    recordSuccess: retries.recordSuccess,
  };
}

function describeSource(name: string): "store" | "peer" {
  return name === STORE_NAME ? "store" : "peer";
}
