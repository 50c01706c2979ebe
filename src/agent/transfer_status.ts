/** What `/status` shows of the transfer that an agent wants. */

import type { TransferStatus } from "../status/mod.ts";
import type { TransferProgress } from "../weights/mod.ts";

export interface TransferStatusReader {
  read(progress: TransferProgress, sizeBytes: number): TransferStatus;
}

/** The rate is the mean since this transfer was first seen. */
export function createTransferStatusReader(
  monotonicMs: () => number,
): TransferStatusReader {
  let digest: string | undefined;
  let firstMs = 0;
  let firstBytes = 0;

  return {
    read(progress, sizeBytes) {
      const nowMs = monotonicMs();
      if (progress.manifestDigest !== digest) {
        digest = progress.manifestDigest;
        firstMs = nowMs;
        firstBytes = progress.bytesHeld;
      }
      const elapsedS = (nowMs - firstMs) / 1000;
      const isMoving = !progress.isComplete && elapsedS > 0;
      return {
        manifestDigest: progress.manifestDigest,
        bytesHeld: progress.bytesHeld,
        sizeBytes,
        chunksHeld: progress.chunksHeld,
        chunkCount: progress.chunkCount,
        bytesPerS: isMoving ? (progress.bytesHeld - firstBytes) / elapsedS : 0,
      };
    },
  };
}
