/** Idempotency keys: floor and table of the runner that a key belongs to. */

export { createKeyFloor, readKeyTimeMs } from "./key_floor.ts";
export type { KeyFloor } from "./key_floor.ts";
export { createKeyTable, MAX_STORED_ANSWER_BYTES } from "./key_table.ts";
export type { KeyDecision, KeyTable, StoredAnswer } from "./key_table.ts";
