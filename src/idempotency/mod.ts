/**
 * Idempotency keys: their format, the choice of the host that runs a key (its
 * runner), and the runner's key table and key floor.
 */

export { createKeyFloor } from "./key_floor.ts";
export type { KeyFloor } from "./key_floor.ts";
export { createKey, normalizeKey, readKeyTimeMs } from "./key_format.ts";
export { createKeyTable, MAX_STORED_RESPONSE_BYTES } from "./key_table.ts";
export type { KeyDecision, KeyTable, StoredResponse } from "./key_table.ts";
export { chooseRunner } from "./runner_choice.ts";
