/** Result of a request for a chunk or a manifest. */

export type FetchResult =
  | { readonly type: "ok"; readonly bytes: Uint8Array }
  /** The source is healthy but declined the request. */
  | {
      readonly type: "refused";
      readonly code: string;
      readonly retryAfterMs: number;
    }
  /** The source sent other bytes than those requested. */
  | { readonly type: "corrupt"; readonly reason: string }
  | { readonly type: "failed"; readonly reason: string };

export interface FetchLimits {
  /** Exact size of a chunk, or the largest size of a manifest. */
  readonly sizeBytes: number;
  readonly isExact: boolean;
  /** Waits until the rate limit of the host's link allows more data. */
  readonly waitForBandwidth: () => Promise<void>;
  readonly signal: AbortSignal;
  /** Called for each piece received. */
  readonly onBytes: (bytes: number) => void;
}

/** A request is stopped when the source sends nothing for this long. */
export const STALL_TIMEOUT_MS = 2_000;

export interface ByteAssembler {
  /** False if the source sent more than the size limit. */
  push(bytes: Uint8Array): boolean;
  finish(): FetchResult;
}

/** Collects received bytes in one buffer outside the JavaScript heap. */
export function createByteAssembler(limits: FetchLimits): ByteAssembler {
  // The size of a manifest is not known in advance, so its buffer grows.
  let buffer = Buffer.allocUnsafeSlow(
    limits.isExact ? limits.sizeBytes : Math.min(limits.sizeBytes, 64 * 1024),
  );
  let length = 0;
  return {
    push(bytes) {
      const needed = length + bytes.length;
      if (needed > limits.sizeBytes) return false;
      if (needed > buffer.length) {
        const grown = Buffer.allocUnsafeSlow(
          Math.min(limits.sizeBytes, Math.max(needed, 2 * buffer.length)),
        );
        buffer.copy(grown, 0, 0, length);
        buffer = grown;
      }
      buffer.set(bytes, length);
      length = needed;
      return true;
    },
    finish() {
      if (limits.isExact && length !== limits.sizeBytes) {
        return { type: "corrupt", reason: "too_short" };
      }
      return { type: "ok", bytes: buffer.subarray(0, length) };
    },
  };
}
