/** Idempotency keys: their format and the choice of their runner. */

export { createKey, normalizeKey, readKeyTimeMs } from "./key_format.ts";
export { chooseRunner } from "./runner_choice.ts";
