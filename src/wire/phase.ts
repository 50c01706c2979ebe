/** State of an endpoint as observed by its agent or sidecar. */

import * as z from "zod";

export type Phase =
  "unknown" | "down" | "empty" | "loading" | "cold" | "warm" | "leaving";

export const phaseSchema = z.enum([
  "unknown",
  "down",
  "empty",
  "loading",
  "cold",
  "warm",
  "leaving",
]);
