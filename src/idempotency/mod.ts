/**
 * Idempotency keys: their format, the choice of their runner, and the table
 * and floor that the runner keeps.
 */

export { createKeyFloor } from "./key_floor.ts";
export type { KeyFloor } from "./key_floor.ts";
export { createKey, normalizeKey, readKeyTimeMs } from "./key_format.ts";
export { createKeyTable, MAX_STORED_ANSWER_BYTES } from "./key_table.ts";
export type { KeyDecision, KeyTable, StoredAnswer } from "./key_table.ts";
export { chooseRunner } from "./runner_choice.ts";
