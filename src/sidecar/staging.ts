/**
 * Stages chunks at the endpoint for loading. Staged chunks can be lost or
 * corrupted there, so each is read back and verified before a load is ordered.
 */

import { computeDigest } from "../weights/mod.ts";
import type { EndpointApi } from "./endpoint_api.ts";

export interface StagingOptions {
  readonly endpoint: EndpointApi;
  readonly model: string;
  readonly chunkDigests: readonly string[];
}

/** Returns the staged chunks that match their digest, by index. */
export async function readValidChunks(
  options: StagingOptions,
): Promise<ReadonlyMap<number, Uint8Array>> {
  const { endpoint, model, chunkDigests } = options;
  const valid = new Map<number, Uint8Array>();
  const staged = await endpoint.listStaged(model);
  const indices = staged.unwrapOr([]).filter((i) => i < chunkDigests.length);
  for (const index of indices) {
    const bytes = (await endpoint.readStaged(model, index)).unwrapOr(undefined);
    if (bytes === undefined) continue;
    if (computeDigest(bytes) === chunkDigests[index]) valid.set(index, bytes);
  }
  return valid;
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
