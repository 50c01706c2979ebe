/** The parts of undici that the bundled programs use. */

export { default as Agent } from "undici/lib/dispatcher/agent.js";
export { default as Client } from "undici/lib/dispatcher/client.js";

/** Imported by modules of the trial deployment, and removed from the bundles. */
export function request() {
  throw new Error("request is not part of the bundled programs");
}
