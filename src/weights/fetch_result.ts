/** How a request for a chunk or a manifest ended. */

export type FetchResult =
  | { readonly type: "ok"; readonly bytes: Uint8Array }
  /** The source declined at once and is otherwise in order. */
  | {
      readonly type: "refused";
      readonly code: string;
      readonly retryAfterMs: number;
    }
  /** The source sent something else than what was asked for. */
  | { readonly type: "corrupt"; readonly reason: string }
  | { readonly type: "failed"; readonly reason: string };

export interface FetchLimits {
  /** Exact size of a chunk, or the largest size of a manifest. */
  readonly sizeBytes: number;
  readonly isExact: boolean;
  /** Waits for room on the host's link. */
  readonly waitForBandwidth: () => Promise<void>;
  readonly signal: AbortSignal;
  /** Called for each piece received. */
  readonly onBytes: (bytes: number) => void;
}

/** A source that sends nothing for this long loses the request. */
export const STALL_TIMEOUT_MS = 2_000;

export interface ByteAssembler {
  /** False if the source sent more than was asked for. */
  push(bytes: Uint8Array): boolean;
  finish(): FetchResult;
}

/** Collects pieces in one buffer outside the JavaScript heap. */
export function createByteAssembler(limits: FetchLimits): ByteAssembler {
  // A manifest's size is unknown, so its buffer grows.
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
