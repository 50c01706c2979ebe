/** When each replica held and served a version. */

import { isServing, readAgentStatus } from "./fleet_status.ts";
import type { PlannedHost } from "./fleet_plan.ts";
import { computePercentiles } from "./tally.ts";

const POLL_MS = 200;

export interface Arrival {
  wholeMs?: number;
  servingMs?: number;
}

export interface FollowOptions {
  readonly hosts: readonly PlannedHost[];
  readonly digest: string;
  readonly limitMs: number;
}

/** Polls until all hosts serve the digest; times are from the call. */
export async function followHosts(follow: FollowOptions) {
  const { hosts, digest, limitMs } = follow;
  const startMs = performance.now();
  const arrivals = new Map(hosts.map((host) => [host.name, {} as Arrival]));
  async function poll(host: PlannedHost) {
    const arrival = arrivals.get(host.name)!;
    if (arrival.servingMs !== undefined) return;
    const status = await readAgentStatus(host, digest);
    if (status === undefined) return;
    const nowMs = performance.now() - startMs;
    if (status.sizeBytes > 0 && status.bytesHeld === status.sizeBytes) {
      arrival.wholeMs ??= nowMs;
    }
    if (!isServing(status, digest)) return;
    arrival.wholeMs ??= nowMs;
    arrival.servingMs = nowMs;
  }
  while (performance.now() - startMs < limitMs) {
    await Promise.all(hosts.map(poll));
    if ([...arrivals.values()].every((a) => a.servingMs !== undefined)) break;
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  return arrivals;
}

/** `all` is not a number, and null in JSON, while a host is missing. */
export function describeTimes(values: readonly (number | undefined)[]) {
  const known = values.filter((value) => value !== undefined);
  const all = known.length === values.length ? Math.max(...known) : NaN;
  const { p50, p95 } = computePercentiles(known);
  return { p50, p95, all, missing: values.length - known.length };
}
