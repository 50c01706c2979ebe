/** Fetches the weights that a load order names from the engine's agent. */

import { request } from "undici";
import { formatDigest } from "./model_files.ts";
import type { ManifestFile } from "./model_files.ts";

/** True if the manifest has this digest and the weights match the manifest. */
export async function fetchAndVerifyWeights(
  sourceUrl: string,
  manifestDigest: string,
): Promise<boolean> {
  try {
    const manifest = await fetchBytes(`${sourceUrl}/manifest`);
    if (formatDigest(manifest) !== manifestDigest) return false;
    const file = JSON.parse(manifest.toString()) as ManifestFile;
    const bytes = await fetchBytes(sourceUrl);
    const chunkEnds = file.chunks.map((_, index) =>
      file.chunks
        .slice(0, index + 1)
        .reduce((sum, chunk) => sum + chunk.size_bytes, 0),
    );
    return (
      bytes.length === file.size_bytes &&
      file.chunks.every(
        (chunk, index) =>
          formatDigest(
            bytes.subarray(
              chunkEnds[index]! - chunk.size_bytes,
              chunkEnds[index],
            ),
          ) === chunk.digest,
      )
    );
  } catch {
    return false;
  }
}

async function fetchBytes(url: string): Promise<Buffer> {
  const { statusCode, body } = await request(url);
  const bytes = Buffer.from(await body.arrayBuffer());
  if (statusCode !== 200) throw new Error(`Status ${statusCode}`);
  return bytes;
}
