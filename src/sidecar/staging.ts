/**
 * The chunks that lie at the endpoint, ready to be loaded. They can be lost or
 * turn bad there, so each is read back and compared before a load is ordered.
 */

import { computeDigest } from "../weights/mod.ts";
import type { EndpointControl } from "./endpoint_control.ts";

export interface StagingOptions {
  readonly endpoint: EndpointControl;
  readonly model: string;
  readonly chunkDigests: readonly string[];
}

/** The staged chunks that match their digest, by index. */
export async function readSoundChunks(
  options: StagingOptions,
): Promise<ReadonlyMap<number, Uint8Array>> {
  const { endpoint, model, chunkDigests } = options;
  const sound = new Map<number, Uint8Array>();
  const held = await endpoint.listStaged(model);
  const indices = held.unwrapOr([]).filter((i) => i < chunkDigests.length);
  for (const index of indices) {
    const bytes = (await endpoint.readStaged(model, index)).unwrapOr(undefined);
    if (bytes === undefined) continue;
    if (computeDigest(bytes) === chunkDigests[index]) sound.set(index, bytes);
  }
  return sound;
}

/** Writes what is missing or wrong; true once every chunk was read back sound. */
export async function stageChunks(
  options: StagingOptions,
  chunks: readonly Uint8Array[],
): Promise<boolean> {
  const sound = await readSoundChunks(options);
  const wrong = chunks.flatMap((_, index) => (sound.has(index) ? [] : [index]));
  if (wrong.length === 0) return true;
  for (const index of wrong) {
    await options.endpoint.writeStaged(options.model, index, chunks[index]!);
  }
  return (await readSoundChunks(options)).size === chunks.length;
}
