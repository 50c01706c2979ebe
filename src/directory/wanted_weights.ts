/**
 * The wanted versions of weights, and since when requests may no longer start on
 * older ones, as far as this process and its peers can prove it.
 */

import type { Logger } from "../logging/mod.ts";
import type { AgeClock } from "./age_clock.ts";
import { createPublicationBounds } from "./publication_bounds.ts";
import type { GracePeriod, PublicationBound } from "./publication_bounds.ts";
import type { DirectoryChange } from "./records.ts";
import { MIN_OUTAGE_MS } from "./store_outage.ts";
import type { OutageSpan } from "./store_outage.ts";

/**
 * A wanted version of a model's weights, and the grace period in which requests
 * may still start on older versions.
 */
export interface WantedWeights extends GracePeriod {
  readonly model: string;
  readonly version: number;
}

export interface WantedVersions {
  /** Newest first. */
  list(model: string): readonly WantedWeights[];
  listModels(): readonly string[];
  /** This process has read the version from the store or from a peer. */
  learn(change: Extract<DirectoryChange, { type: "weights" }>): void;
  /** Adds what another process knows about the publication of a version. */
  raiseNotBefore(hint: Omit<WantedWeights, "graceStartMs">): void;
}

export interface WantedWeightsOptions {
  readonly clock: AgeClock;
  readonly logger: Logger;
  /** Period in which all requests to the store have failed. */
  readonly storeOutage: () => OutageSpan | undefined;
  /** On the age clock: when the copy was last known to be complete. */
  readonly confirmedAtMs: () => number;
  /** Called when a peer's knowledge has changed a listed version. */
  readonly onRaised: () => void;
}

export function createWantedWeights(
  options: WantedWeightsOptions,
): WantedVersions {
  const { clock, logger, storeOutage, confirmedAtMs, onRaised } = options;
  const wanted = new Map<string, readonly WantedWeights[]>();
  const publicationBounds = createPublicationBounds();

  function newestWanted(model: string): number | undefined {
    return wanted.get(model)?.[0]?.version;
  }

  /**
   * Lists the versions up to `newest`, also those that only another process has
   * seen: the store holds the newest one, but each has a grace period.
   */
  function listWanted(model: string, newest: number) {
    const former = wanted.get(model) ?? [];
    const versions = publicationBounds
      .listVersions(model)
      .filter((version) => version <= newest);
    wanted.set(
      model,
      versions.map((version) => ({
        model,
        version,
        ...publicationBounds.read({ model, version }),
      })),
    );
    versions
      .filter((version) => version < newest)
      .filter((version) => former.every((item) => item.version !== version))
      .forEach((version) =>
        logger.info(
          { model, version, newest },
          "learned of missed weights from a peer",
        ),
      );
  }

  function ageMs(): number {
    return clock.nowMs() - confirmedAtMs();
  }

  /** None in a process that has just started and has no confirmation yet. */
  function findOutage(): OutageSpan | undefined {
    const outage = storeOutage();
    const hasOutage =
      Number.isFinite(confirmedAtMs()) &&
      ageMs() > MIN_OUTAGE_MS &&
      outage !== undefined &&
      outage.durationMs >= MIN_OUTAGE_MS;
    return hasOutage ? outage : undefined;
  }

  return {
    list: (model) => wanted.get(model) ?? [],
    listModels: () => [...wanted.keys()],
    learn({ model, version }) {
      if (version === undefined) return;
      if (version <= (newestWanted(model) ?? -Infinity)) return;
      // The copy was complete then and did not contain the version. The arrival
      // of a watch proves nothing, because it can be delayed without limit.
      const bound: PublicationBound = {
        notBeforeMs: confirmedAtMs(),
        isAfterOutage: ageMs() > MIN_OUTAGE_MS,
      };
      publicationBounds.learn({ model, version }, bound, findOutage());
      listWanted(model, version);
      const period = publicationBounds.read({ model, version });
      logger.info(
        {
          model,
          version,
          ageMs: ageMs(),
          storeAbsentMs: storeOutage()?.durationMs ?? 0,
          isAfterOutage: period.isAfterOutage,
          countedForMs: clock.nowMs() - period.graceStartMs,
        },
        "new weights named",
      );
    },
    raiseNotBefore({ model, version, ...bound }) {
      publicationBounds.raise({ model, version }, bound);
      const newest = newestWanted(model);
      if (newest === undefined || version > newest) return;
      const items = wanted.get(model) ?? [];
      const former = items.find((item) => item.version === version);
      const raised = publicationBounds.read({ model, version });
      const isSame =
        raised.notBeforeMs === former?.notBeforeMs &&
        raised.isAfterOutage === former.isAfterOutage;
      if (isSame) return;
      listWanted(model, newest);
      onRaised();
      if (former === undefined) return;
      if (raised.graceStartMs === former.graceStartMs) return;
      logger.info(
        {
          model,
          version,
          ...(Number.isFinite(former.graceStartMs) && {
            raisedByMs: raised.graceStartMs - former.graceStartMs,
          }),
          isAfterOutage: raised.isAfterOutage,
          countedForMs: clock.nowMs() - raised.graceStartMs,
        },
        "publication time of weights bounded more closely",
      );
    },
  };
}
