/** Creates the deterministic weights of a model version and their manifest. */

import { createHash } from "node:crypto";

export interface ManifestFile {
  readonly model: string;
  readonly version: string;
  readonly size_bytes: number;
  readonly chunks: readonly {
    readonly digest: string;
    readonly size_bytes: number;
  }[];
}

export interface ModelFiles {
  readonly manifest: Buffer;
  readonly manifestDigest: string;
  readonly sizeBytes: number;
  readonly chunks: ReadonlyMap<string, Buffer>;
}

export interface ModelFilesOptions {
  readonly sizeBytes: number;
  readonly chunkBytes: number;
}

export function createModelFiles(
  model: string,
  version: string,
  options: ModelFilesOptions,
): ModelFiles {
  const { sizeBytes, chunkBytes } = options;
  const count = Math.ceil(sizeBytes / chunkBytes);
  const chunks = Array.from({ length: count }, (_, index) => {
    const size = Math.min(chunkBytes, sizeBytes - index * chunkBytes);
    const bytes = createBytes(`${model}/${version}/${index}`, size);
    return [formatDigest(bytes), bytes] as const;
  });
  const file: ManifestFile = {
    model,
    version,
    size_bytes: sizeBytes,
    chunks: chunks.map(([digest, bytes]) => ({
      digest,
      size_bytes: bytes.length,
    })),
  };
  const manifest = Buffer.from(JSON.stringify(file));
  return {
    manifest,
    manifestDigest: formatDigest(manifest),
    sizeBytes,
    chunks: new Map(chunks),
  };
}

export function formatDigest(bytes: Uint8Array): string {
  return "sha256:" + createHash("sha256").update(bytes).digest("hex");
}

function createBytes(seed: string, size: number): Buffer {
  const blocks = Math.ceil(size / 32);
  const block = createHash("sha256").update(seed).digest();
  return Buffer.concat(
    Array.from({ length: blocks }, (_, index) => {
      const copy = Buffer.from(block);
      copy.writeUInt32BE(index, 0);
      return copy;
    }),
  ).subarray(0, size);
}
