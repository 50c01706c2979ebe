/** Reads `GET /status` of many processes concurrently. */

import { parseStatusReport } from "../status/mod.ts";
import type { StatusReport } from "../status/mod.ts";
import type { CommandIo } from "./io.ts";

const MAX_CONCURRENT_READS = 32;

export interface StatusTarget {
  /** "IP:port" */
  readonly address: string;
  /** Present when the address comes from the host list. */
  readonly host?: string;
}

export interface UnreachableProcess extends StatusTarget {
  readonly reason: string;
}

export interface CollectedStatus {
  readonly reports: readonly StatusReport[];
  readonly unreachable: readonly UnreachableProcess[];
}

export async function collectStatus(
  targets: readonly StatusTarget[],
  io: CommandIo,
): Promise<CollectedStatus> {
  const reports: StatusReport[] = [];
  const unreachable: UnreachableProcess[] = [];
  const remainingTargets = targets.values();
  const readTargets = async () => {
    for (const target of remainingTargets) {
      try {
        reports.push(await readStatus(target, io));
      } catch (error) {
        unreachable.push({ ...target, reason: describeError(error) });
      }
    }
  };
  await Promise.all(Array.from({ length: MAX_CONCURRENT_READS }, readTargets));
  return {
    reports: reports.toSorted((a, b) => a.host.localeCompare(b.host)),
    unreachable: unreachable.toSorted((a, b) =>
      a.address.localeCompare(b.address),
    ),
  };
}

async function readStatus(
  { address }: StatusTarget,
  io: CommandIo,
): Promise<StatusReport> {
  const value = await io.fetchJson(`http://${address}/status`);
  const report = parseStatusReport(value);
  if (report === undefined)
    throw new Error("The response is not a status report");
  return report;
}

export function describeError(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  const { code } = error as { code?: unknown };
  return error.message !== "" ? error.message : String(code ?? error.name);
}
