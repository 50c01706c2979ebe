/**
 * How requests to each source of a transfer ended: which peers are avoided or
 * distrusted, and when each source may be asked again.
 */

import type { FetchResult } from "./fetch_result.ts";
import { createRetryTimes } from "./retry_times.ts";
import type { TransferContext } from "./transfer_context.ts";

/**
 * A connection that is silent for 6 s is closed, and a request that stalls is
 * given up after 2 s. After this time the peer is gone or has been heard of; a
 * request before would most likely hold its chunk for another 2 s.
 */
const STALL_RETRY_DELAY_MS = 4_000;

/** Name of the weight store among the sources; the others are host names. */
export const STORE_NAME = "";

export interface SourceOutcomes {
  /** True for a peer that has sent corrupt bytes. */
  isExcluded(host: string): boolean;
  /** Its chunks do not count as held until it has sent one again. */
  isDistrusted(host: string): boolean;
  readyAtMs(name: string): number;
  defer(name: string, delayMs: number): void;
  /** Records a failure; returns the bytes if the request succeeded. */
  recordResult(name: string, result: FetchResult): Uint8Array | undefined;
  recordCorruption(name: string): void;
  recordSuccess(name: string): void;
}

export interface SourceOutcomesOptions {
  readonly context: TransferContext;
  readonly manifestDigest: string;
  readonly isEnded: () => boolean;
  /** Runs when a peer's chunks may no longer count, or count again. */
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
