/** Creates weight chunks whose bytes depend on model, version and index. */

import { createHash } from "node:crypto";

export interface ModelSpec {
  readonly name: string;
  readonly chunkCount: number;
  readonly chunkBytes: number;
}

export function createChunk(
  { name, chunkBytes }: ModelSpec,
  version: number,
  index: number,
): Buffer {
  const seed = createHash("sha256")
    .update(`${name} ${version} ${index}`)
    .digest();
  return Buffer.alloc(chunkBytes, seed);
}

export function listDigests(
  model: ModelSpec,
  version: number,
): readonly string[] {
  return Array.from({ length: model.chunkCount }, (_, index) =>
    createHash("sha256")
      .update(createChunk(model, version, index))
      .digest("hex"),
  );
}
