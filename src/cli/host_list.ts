/** The fields of the platform's host list that the operator command reads. */

import * as z from "zod";
import { toCamelCaseKeys } from "../document/mod.ts";
import type { CamelCaseKeys } from "../document/mod.ts";

// Not strict: the platform may add fields.
export const hostListSchema = z.object({
  sequence: z.number().optional(),
  hosts: z.array(
    z.object({
      name: z.string(),
      role: z.enum(["entry", "endpoint"]),
      service: z.string().optional(),
      data_centre: z.string(),
      http_address: z.string().optional(),
      state: z.enum(["live", "leaving"]),
    }),
  ),
});

export type ListedHost = CamelCaseKeys<
  z.output<typeof hostListSchema>
>["hosts"][number];

/** Undefined when `value` is not a host list. */
export function parseHostList(
  value: unknown,
): readonly ListedHost[] | undefined {
  const parsed = hostListSchema.safeParse(value);
  return parsed.success ? toCamelCaseKeys(parsed.data).hosts : undefined;
}
