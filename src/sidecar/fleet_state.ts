/**
 * The published state as entries report it to this agent: its service's model,
 * the origin of weights, and the wanted versions.
 */

import { comparePositions } from "../directory/mod.ts";
import type { ServedModel } from "../directory/mod.ts";
import type { FleetNotice, FleetService } from "../wire/mod.ts";
import { createReportedBounds } from "./reported_bounds.ts";

export interface TargetVersion extends ServedModel {
  /**
   * Latest known lower bound of the publication time, on the monotonic clock.
   */
  readonly publishedAtMs: number;
}

export interface FleetState {
  /**
   * Applies a notice of the entry `sender`; false if a newer one is already
   * known, in which case only its wanted versions are added.
   */
  update(notice: FleetNotice, sender: string): boolean;
  ownService(): FleetService | undefined;
  origin(): FleetService | undefined;
  /**
   * Wanted versions, oldest first. A newer one replaces older ones once it can
   * be loaded.
   */
  targets(): readonly TargetVersion[];
  onChange(handler: () => void): void;
}

export function createFleetState(
  service: string | undefined,
  nowMs: () => number,
): FleetState {
  const handlers: (() => void)[] = [];
  const targets = new Map<number, TargetVersion>();
  const bounds = createReportedBounds();
  let lastNotice: FleetNotice | undefined;

  function ownService() {
    return lastNotice?.services.find(({ name }) => name === service);
  }

  return {
    update(notice, sender) {
      const isOlder = lastNotice !== undefined && isBefore(notice, lastNotice);
      if (!isOlder) lastNotice = notice;
      const model = ownService()?.models[0];
      notice.wantedWeights
        .filter((weights) => weights.model === model)
        .forEach(({ version, publishedForMs, isAfterOutage = false }) => {
          const publishedAtMs = nowMs() - publishedForMs;
          bounds.report(version, sender, { publishedAtMs, isAfterOutage });
          targets.set(version, {
            name: model!,
            version,
            publishedAtMs: bounds.read(version)!.publishedAtMs,
          });
        });
      handlers.forEach((handle) => handle());
      return !isOlder;
    },
    ownService,
    origin: () =>
      lastNotice?.services.find(
        ({ originAddress }) => originAddress !== undefined,
      ),
    targets: () => [...targets.values()].sort((a, b) => a.version - b.version),
    onChange: (handler) => void handlers.push(handler),
  };
}

/**
 * The services come from the configuration, whose versions rise in every era of
 * the store. Notices of the same version are ordered by their positions.
 */
function isBefore(notice: FleetNotice, other: FleetNotice): boolean {
  const aheadBy = (notice.configVersion ?? 0) - (other.configVersion ?? 0);
  const isOrderedByConfig =
    notice.configVersion !== undefined &&
    other.configVersion !== undefined &&
    aheadBy !== 0;
  return isOrderedByConfig ? aheadBy < 0 : comparePositions(notice, other) < 0;
}
