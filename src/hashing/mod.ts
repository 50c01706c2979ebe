/** Rendezvous hashing. */

export { rankByHash } from "./rank_by_hash.ts";
export { computeSeed, scorePair } from "./pair_score.ts";
