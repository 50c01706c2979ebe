/** Status of the transfer of the version that the agent wants. */

import type { TransferStatus } from "../status/mod.ts";
import type { TransferProgress } from "../weights/mod.ts";

export function createTransferStatus(
  progress: TransferProgress,
  sizeBytes: number,
): TransferStatus {
  const { manifestDigest, bytesHeld, chunksHeld, chunkCount } = progress;
  return {
    manifestDigest,
    bytesHeld,
    sizeBytes,
    chunksHeld,
    chunkCount,
    bytesPerS: progress.bytesPerS,
  };
}
