/** Tracks which chunks of a manifest are held and which are to be requested. */

import { clearBit, createBitmap, hasBit, setBit } from "./bitmap.ts";
import type { Manifest } from "./manifest.ts";

export interface ChunkProgress {
  readonly manifest: Manifest;
  /** One bit for each chunk held. */
  readonly held: Uint8Array;
  chunksHeld(): number;
  isComplete(): boolean;
  isHeld(index: number): boolean;
  /** True if the chunk is neither held nor requested. */
  needsRequest(index: number): boolean;
  /** True if the manifest lists this chunk. */
  includes(digest: string): boolean;
  setNeedsRequest(digest: string, needsRequest: boolean): void;
  markHeld(digest: string): void;
}

export function createChunkProgress(
  manifest: Manifest,
  isCached: (digest: string) => boolean,
): ChunkProgress {
  const { chunks } = manifest;
  const held = createBitmap(chunks.length);
  const toRequest = createBitmap(chunks.length).fill(0xff);
  // Chunks with equal bytes share a digest, which then has several indices.
  const indicesOf = new Map<string, number[]>();
  let chunksHeld = 0;

  function setNeedsRequest(digest: string, needsRequest: boolean) {
    const change = needsRequest ? setBit : clearBit;
    (indicesOf.get(digest) ?? []).forEach((index) => change(toRequest, index));
  }

  function markHeld(digest: string) {
    setNeedsRequest(digest, false);
    (indicesOf.get(digest) ?? []).forEach((index) => {
      if (hasBit(held, index)) return;
      setBit(held, index);
      chunksHeld += 1;
    });
  }

  chunks.forEach((chunk, index) => {
    const indices = indicesOf.get(chunk.digest);
    if (indices === undefined) indicesOf.set(chunk.digest, [index]);
    else indices.push(index);
  });
  [...indicesOf.keys()].filter(isCached).forEach(markHeld);
  return {
    manifest,
    held,
    chunksHeld: () => chunksHeld,
    isComplete: () => chunksHeld === chunks.length,
    isHeld: (index) => hasBit(held, index),
    needsRequest: (index) => hasBit(toRequest, index),
    includes: (digest) => indicesOf.has(digest),
    setNeedsRequest,
    markHeld,
  };
}
