/** Time-ordered identifiers. */

export { createUuidV7 } from "./uuid_v7.ts";
