/** Registers the gauges that the entry and the agent have in common. */

import type { Clock } from "../membership/mod.ts";
import type { Registry } from "../metrics/mod.ts";
import type { SnapshotStore } from "../snapshots/mod.ts";

export interface GaugeSources {
  readonly config: Pick<SnapshotStore, "current" | "confirmedAtMs">;
  readonly clock: Clock;
  readonly startedAtMs: number;
  readonly countPeers: () => number;
  readonly isWatching: () => boolean;
}

export function registerGauges(
  registry: Registry,
  { config, clock, startedAtMs, countPeers, isWatching }: GaugeSources,
) {
  registry.gauge(
    "config_version",
    "Version of the configuration in force",
    () => config.current()?.version ?? 0,
  );
  registry.gauge(
    "config_confirmation_age_seconds",
    "Time since the configuration was known to be current, or since start",
    () =>
      (clock.wallMs() - Math.max(config.confirmedAtMs(), startedAtMs)) / 1000,
  );
  registry.gauge(
    "peers_connected",
    "Remote hosts with an open connection",
    countPeers,
  );
  registry.gauge(
    "platform_watching",
    "1 if this process watches the platform for others",
    () => (isWatching() ? 1 : 0),
  );
}
