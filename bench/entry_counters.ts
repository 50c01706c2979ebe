/** Reads counters from the entries' `/metrics` and sums them over all entries. */

import { request } from "undici";
import { processUrl } from "./fleet_hosts.ts";
import type { FleetPlan } from "./fleet_plan.ts";

export interface EntryCounters {
  readonly retries: number;
  /** Retries that continued a started stream. */
  readonly continuations: number;
  readonly denied: number;
}

export async function readEntryCounters({
  hosts,
}: FleetPlan): Promise<EntryCounters> {
  const texts = await Promise.all(
    hosts
      .filter((host) => host.role === "entry")
      .map(async (host) => {
        const { body } = await request(`${processUrl(host)}/metrics`);
        return body.text();
      }),
  );
  const lines = texts.flatMap((text) => text.split("\n"));
  function sum(name: string): number {
    const pattern = new RegExp(`^zinniaspur_${name}(?:\\{.*\\})? (\\S+)$`);
    return lines.reduce(
      (total, line) => total + Number(pattern.exec(line)?.[1] ?? 0),
      0,
    );
  }
  return {
    retries: sum("retries_total"),
    continuations: sum("continued_streams_total"),
    denied: sum("retries_denied_total"),
  };
}

export function subtractCounters(
  after: EntryCounters,
  before: EntryCounters,
): EntryCounters {
  return {
    retries: after.retries - before.retries,
    continuations: after.continuations - before.continuations,
    denied: after.denied - before.denied,
  };
}
