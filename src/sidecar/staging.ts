/**
 * Stages chunks at the endpoint for loading. Staged chunks can be lost or
 * corrupted there, so each is read back and verified before a load is ordered,
 * and again after the order was accepted.
 */

import { computeDigest } from "../weights/mod.ts";
import type { EndpointApi } from "./endpoint_api.ts";

export interface StagingOptions {
  readonly endpoint: EndpointApi;
  readonly model: string;
  readonly chunkDigests: readonly string[];
  /** A staged chunk with more bytes is not read. */
  readonly chunkBytes: number;
}

export interface StagedChunks {
  /** Chunks that match their digest, by index. */
  readonly valid: ReadonlyMap<number, Uint8Array>;
  /** False if a chunk could not be read, so that it may be valid or not. */
  readonly isReadCompletely: boolean;
}

export async function readStagedChunks(
  options: StagingOptions,
): Promise<StagedChunks> {
  const { endpoint, model, chunkDigests, chunkBytes } = options;
  const valid = new Map<number, Uint8Array>();
  const staged = await endpoint.listStaged(model);
  let isReadCompletely = staged.isOk();
  const indices = staged.unwrapOr([]).filter((i) => i < chunkDigests.length);
  for (const index of indices) {
    const result = await endpoint.readStaged(model, index, {
      sizeBytes: chunkBytes,
    });
    if (result.isErr()) isReadCompletely = false;
    const bytes = result.unwrapOr(undefined);
    if (bytes === undefined) continue;
    if (computeDigest(bytes) === chunkDigests[index]) valid.set(index, bytes);
  }
  return { valid, isReadCompletely };
}

/** Returns the staged chunks that match their digest, by index. */
export async function readValidChunks(
  options: StagingOptions,
): Promise<ReadonlyMap<number, Uint8Array>> {
  return (await readStagedChunks(options)).valid;
}

/** Writes missing and corrupt chunks; true if all chunks are then verified. */
export async function stageChunks(
  options: StagingOptions,
  chunks: readonly Uint8Array[],
): Promise<boolean> {
  const valid = await readValidChunks(options);
  const wrong = chunks.flatMap((_, index) => (valid.has(index) ? [] : [index]));
  if (wrong.length === 0) return true;
  for (const index of wrong) {
    await options.endpoint.writeStaged(options.model, index, chunks[index]!);
  }
  return (await readValidChunks(options)).size === chunks.length;
}
