import type { Issue } from "../document/mod.ts";

/** Reports listeners of one process that would bind the same address. */
export function checkAddresses(input: unknown): readonly Issue[] {
  if (input === null || typeof input !== "object") return [];
  const settings = input as Record<string, unknown>;
  const { http_address: http, peer_address: peer } = settings;
  if (typeof http !== "string" || http !== peer || http.endsWith(":0")) {
    return [];
  }
  return [
    {
      path: ["peer_address"],
      at: "value",
      message: `peer_address and http_address are both ${http}`,
      fix: "Use another port for one of them",
    },
  ];
}
