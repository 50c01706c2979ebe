/** Parses the host list's canonical JSON text. */

import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import * as z from "zod";
import type { Host } from "./host.ts";

const hostSchema = z.object({
  name: z.string().min(1),
  role: z.enum(["entry", "endpoint"]),
  service: z.string().nullish(),
  data_centre: z.string().min(1),
  peer_address: z.string().regex(/^.+:\d{1,5}$/),
  state: z.enum(["live", "leaving"]),
});

/** Returns one error line for each problem. */
export function parseHosts(
  text: string,
): Result<readonly Host[], readonly string[]> {
  const parsed = z.array(hostSchema).safeParse(readJson(text));
  if (!parsed.success) {
    return err(
      parsed.error.issues.map((i) => `hosts.${i.path.join(".")}: ${i.message}`),
    );
  }
  return ok(
    parsed.data.map((entry) => ({
      name: entry.name,
      role: entry.role,
      ...(entry.service ? { service: entry.service } : {}),
      dataCentre: entry.data_centre,
      peerAddress: entry.peer_address,
      state: entry.state,
    })),
  );
}

function readJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
