/** Rendezvous hashing. */

export { rankByHash } from "./rank_by_hash.ts";
