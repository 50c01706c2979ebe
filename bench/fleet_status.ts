/** Reads the `/status` of the agents of a bench fleet. */

import { request } from "undici";
import { processUrl, LANGUAGE_SERVICE } from "./fleet_hosts.ts";
import type { FleetPlan, PlannedHost, VersionName } from "./fleet_plan.ts";

export interface AgentStatus {
  readonly host: string;
  readonly phase: string;
  readonly servingDigest?: string;
  readonly configVersion?: number;
  readonly bytesHeld: number;
  readonly sizeBytes: number;
}

export async function readAgentStatus(
  host: PlannedHost,
  digest: string,
): Promise<AgentStatus | undefined> {
  try {
    const { body } = await request(`${processUrl(host)}/status`, {
      headersTimeout: 1_000,
      bodyTimeout: 1_000,
    });
    const status = (await body.json()) as StatusResponse;
    const transfer = status.transfers?.find((t) => t.manifestDigest === digest);
    return {
      host: host.name,
      phase: status.phase ?? "unknown",
      ...(status.servingDigest && { servingDigest: status.servingDigest }),
      bytesHeld: transfer?.bytesHeld ?? 0,
      sizeBytes: transfer?.sizeBytes ?? 0,
    };
  } catch {
    return undefined;
  }
}

export async function readLanguageStatuses(plan: FleetPlan, digest: string) {
  const hosts = plan.hosts.filter((h) => h.service === LANGUAGE_SERVICE);
  const statuses = await Promise.all(
    hosts.map((host) => readAgentStatus(host, digest)),
  );
  return statuses.filter((status) => status !== undefined);
}

const POLL_MS = 100;

/** Waits until every language endpoint of the plan serves the version. */
export async function waitUntilServing(
  plan: FleetPlan,
  version: VersionName,
  options: { readonly timeoutMs: number },
): Promise<void> {
  const digest = plan.digestOf(version);
  const count = plan.hosts.filter((h) => h.service === LANGUAGE_SERVICE).length;
  const deadlineMs = performance.now() + options.timeoutMs;
  for (;;) {
    const statuses = await readLanguageStatuses(plan, digest);
    const serving = statuses.filter((s) => isServing(s, digest)).length;
    if (serving === count) return;
    if (performance.now() > deadlineMs) {
      throw new Error(`${serving} of ${count} endpoints serve ${version}`);
    }
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
}

export function isServing(status: AgentStatus, digest: string): boolean {
  const isUp = status.phase === "cold" || status.phase === "warm";
  return isUp && status.servingDigest === digest;
}

interface StatusResponse {
  readonly phase?: string;
  readonly servingDigest?: string;
  readonly transfers?: readonly {
    readonly manifestDigest: string;
    readonly bytesHeld: number;
    readonly sizeBytes: number;
  }[];
}
