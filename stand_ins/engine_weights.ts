/** Reads weights from the agent beside the engine, as a load order says. */

import { request } from "undici";
import { formatDigest } from "./model_files.ts";
import type { ManifestFile } from "./model_files.ts";

/** True if the bytes are exactly those of the manifest with this digest. */
export async function fetchWeights(
  sourceUrl: string,
  manifestDigest: string,
): Promise<boolean> {
  try {
    const manifest = await readAll(`${sourceUrl}/manifest`);
    if (formatDigest(manifest) !== manifestDigest) return false;
    const file = JSON.parse(manifest.toString()) as ManifestFile;
    const bytes = await readAll(sourceUrl);
    const ends = file.chunks.map((_, index) =>
      file.chunks
        .slice(0, index + 1)
        .reduce((sum, chunk) => sum + chunk.size_bytes, 0),
    );
    return (
      bytes.length === file.size_bytes &&
      file.chunks.every(
        (chunk, index) =>
          formatDigest(
            bytes.subarray(ends[index]! - chunk.size_bytes, ends[index]),
          ) === chunk.digest,
      )
    );
  } catch {
    return false;
  }
}

async function readAll(url: string): Promise<Buffer> {
  const { statusCode, body } = await request(url);
  const bytes = Buffer.from(await body.arrayBuffer());
  if (statusCode !== 200) throw new Error(`Status ${statusCode}`);
  return bytes;
}
