/** Computes processor time and memory of a fleet's processes for each role. */

import type { Fleet } from "./fleet.ts";

export interface RoleUsage {
  readonly processes: number;
  /** Processor seconds per second of wall time, as a mean over the processes. */
  readonly cores: number;
  readonly maxRssMb: number;
}

export type CpuSnapshot = ReadonlyMap<string, number>;

export function readCpu(fleet: Fleet): CpuSnapshot {
  return new Map(
    [...fleet.processes()].map(([name, p]) => [name, p.usage().cpuS]),
  );
}

export interface UsageWindow {
  readonly before: CpuSnapshot;
  readonly durationS: number;
}

export function computeRoleUsage(
  fleet: Fleet,
  window: UsageWindow,
): Readonly<Record<string, RoleUsage>> {
  const roles = [
    { role: "entry", pattern: /^entry-/ },
    { role: "agent", pattern: /^(assistant|ledger)-/ },
    { role: "endpoint", pattern: /^endpoint-/ },
  ];
  return Object.fromEntries(
    roles.map(({ role, pattern }) => {
      const members = [...fleet.processes()].filter(([name]) =>
        pattern.test(name),
      );
      const cpuS = members
        .map(([name, p]) => p.usage().cpuS - (window.before.get(name) ?? 0))
        .reduce((sum, value) => sum + value, 0);
      const rss = members.map(([, p]) => p.usage().rssBytes);
      const usage: RoleUsage = {
        processes: members.length,
        cores: cpuS / window.durationS / Math.max(1, members.length),
        maxRssMb: Math.max(0, ...rss) / 1_048_576,
      };
      return [role, usage];
    }),
  );
}
