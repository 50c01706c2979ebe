/**
 * Scores of pairs of names, for choices that compare thousands of pairs. Each
 * name is hashed once; pairs are mixed by the MurmurHash3 finalizer, because
 * one SHA-256 for each pair would take seconds in a fleet of 4,100 hosts.
 */

import { createHash } from "node:crypto";

/** Several times the planned size of the fleet. */
const MAX_CACHED_SEEDS = 16_384;
const GOLDEN_RATIO = 0x9e3779b1;

const seeds = new Map<string, number>();

/** A 32-bit hash of the name, the same in every process. */
export function computeSeed(name: string): number {
  const cached = seeds.get(name);
  if (cached !== undefined) return cached;
  const seed = createHash("sha256").update(name).digest().readUInt32BE(0);
  if (seeds.size >= MAX_CACHED_SEEDS) seeds.clear();
  seeds.set(name, seed);
  return seed;
}

/** A score from 0 to 2^32 - 1 of a seed and another seed or an index. */
export function scorePair(seed: number, other: number): number {
  let h = seed ^ Math.imul(other, GOLDEN_RATIO);
  h = Math.imul(h ^ (h >>> 16), 0x85ebca6b);
  h = Math.imul(h ^ (h >>> 13), 0xc2b2ae35);
  return (h ^ (h >>> 16)) >>> 0;
}
