/**
 * The list of chunks of one model version. The document contains its digest and
 * the size of the version, so the source of a manifest need not be trusted.
 */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import * as z from "zod";
import { computeDigest, isDigest } from "./digest.ts";
import type { WantedVersion } from "./weight_distributor.ts";

/** Enough for `MAX_CHUNKS` at about 100 bytes per chunk. */
export const MAX_MANIFEST_BYTES = 8 * 1024 * 1024;
/** Bounded, because a chunk is held in memory before it is verified. */
export const MAX_CHUNK_BYTES = 64 * 1024 * 1024;
/** Keeps the bitmap of a `have` notice well below the frame limit. */
export const MAX_CHUNKS = 65_536;

export interface ManifestChunk {
  readonly digest: string;
  readonly sizeBytes: number;
}

export interface Manifest {
  readonly digest: string;
  readonly sizeBytes: number;
  readonly chunks: readonly ManifestChunk[];
  /** The exact bytes that the digest covers. */
  readonly bytes: Uint8Array;
}

export type ManifestError =
  "wrong_digest" | "malformed" | "wrong_size" | "chunk_too_large";

const schema = z.object({
  model: z.string(),
  version: z.string(),
  size_bytes: z.number().int().nonnegative(),
  chunks: z
    .array(
      z.object({
        digest: z.string().refine(isDigest),
        size_bytes: z.number().int().positive(),
      }),
    )
    .min(1)
    .max(MAX_CHUNKS),
});

export function parseManifest(
  bytes: Uint8Array,
  wanted: WantedVersion,
): Result<Manifest, ManifestError> {
  if (computeDigest(bytes) !== wanted.manifestDigest) {
    return err("wrong_digest");
  }
  const parsed = schema.safeParse(parseJson(bytes));
  if (!parsed.success) return err("malformed");
  const { size_bytes: sizeBytes, chunks: rawChunks } = parsed.data;
  const chunks = rawChunks.map((chunk) => ({
    digest: chunk.digest,
    sizeBytes: chunk.size_bytes,
  }));
  if (chunks.some((chunk) => chunk.sizeBytes > MAX_CHUNK_BYTES)) {
    return err("chunk_too_large");
  }
  const sumBytes = chunks.reduce((sum, chunk) => sum + chunk.sizeBytes, 0);
  if (sumBytes !== sizeBytes || sizeBytes !== wanted.sizeBytes) {
    return err("wrong_size");
  }
  return ok({ digest: wanted.manifestDigest, sizeBytes, chunks, bytes });
}

/**
 * Encodes a manifest for a platform that publishes only the digests of chunks.
 * The encoding is deterministic, so every agent computes the same digest.
 */
export function encodeManifest(content: {
  readonly model: string;
  readonly version: string;
  readonly chunks: readonly ManifestChunk[];
}): Uint8Array {
  const { model, version, chunks } = content;
  return Buffer.from(
    JSON.stringify({
      model,
      version,
      size_bytes: chunks.reduce((sum, chunk) => sum + chunk.sizeBytes, 0),
      chunks: chunks.map((chunk) => ({
        digest: chunk.digest,
        size_bytes: chunk.sizeBytes,
      })),
    }),
  );
}

function parseJson(bytes: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(bytes).toString("utf8"));
  } catch {
    return undefined;
  }
}
