/** Measures when each replica holds and serves a version. */

import { isServing, readAgentStatus } from "./fleet_status.ts";
import type { PlannedHost } from "./fleet_plan.ts";
import { computePercentiles } from "./call_statistics.ts";

const POLL_MS = 200;

export interface ReplicaTimes {
  completeMs?: number;
  servingMs?: number;
}

export interface PollOptions {
  readonly hosts: readonly PlannedHost[];
  readonly digest: string;
  readonly timeoutMs: number;
}

/** Polls until all hosts serve the digest; times count from this call. */
export async function pollUntilServing(options: PollOptions) {
  const { hosts, digest, timeoutMs } = options;
  const startMs = performance.now();
  const timesByHost = new Map(
    hosts.map((host) => [host.name, {} as ReplicaTimes]),
  );
  async function poll(host: PlannedHost) {
    const times = timesByHost.get(host.name)!;
    if (times.servingMs !== undefined) return;
    const status = await readAgentStatus(host, digest);
    if (status === undefined) return;
    const nowMs = performance.now() - startMs;
    if (status.sizeBytes > 0 && status.bytesHeld === status.sizeBytes) {
      times.completeMs ??= nowMs;
    }
    if (!isServing(status, digest)) return;
    times.completeMs ??= nowMs;
    times.servingMs = nowMs;
  }
  while (performance.now() - startMs < timeoutMs) {
    await Promise.all(hosts.map(poll));
    if (
      [...timesByHost.values()].every((times) => times.servingMs !== undefined)
    )
      break;
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  return timesByHost;
}

/**
 * `all` is the largest value, or NaN (null in JSON) if there are no hosts or the
 * value of one is missing.
 */
export function summariseTimes(values: readonly (number | undefined)[]) {
  const known = values.filter((value) => value !== undefined);
  const isComplete = known.length > 0 && known.length === values.length;
  const all = isComplete ? Math.max(...known) : NaN;
  const { p50, p95 } = computePercentiles(known);
  return { p50, p95, all, missing: values.length - known.length };
}
