/**
 * When each version of weights was published, as far as that is proved, and
 * when the grace period for older versions starts. No entry may count from
 * later than the publication. Only after an outage of the store, in which no
 * process could learn of the version, does the period start later: with the
 * last request that failed, which was sent while the store was away.
 */

import { MIN_OUTAGE_MS } from "./store_outage.ts";
import type { OutageSpan } from "./store_outage.ts";

export interface PublicationBound {
  /** On the age clock: lower bound of the time of publication. */
  readonly notBeforeMs: number;
  /**
   * True if no process is known that could read the store around the
   * publication: this one, and all that it has heard from, learned of the
   * version after a start or an outage.
   */
  readonly isAfterOutage?: boolean | undefined;
}

export interface GracePeriod extends PublicationBound {
  /** On the age clock. */
  readonly graceStartMs: number;
}

export interface PublicationBounds {
  /** Adds what another process knows about a version. */
  raise(weights: WeightsVersion, bound: PublicationBound): void;
  /** This process has learned of the version, maybe after an outage. */
  learn(
    weights: WeightsVersion,
    bound: PublicationBound,
    outage: OutageSpan | undefined,
  ): void;
  read(weights: WeightsVersion): GracePeriod;
  /** Versions of the model that this or another process knows, newest first. */
  listVersions(model: string): readonly number[];
}

export interface WeightsVersion {
  readonly model: string;
  readonly version: number;
}

interface KnownVersion extends WeightsVersion {
  readonly bound: PublicationBound;
  readonly outage: OutageSpan | undefined;
}

const UNKNOWN: PublicationBound = {
  notBeforeMs: -Infinity,
  isAfterOutage: true,
};

/**
 * True if an outage of the store remains after the last time at which an entry
 * is known to have read it. The clocks of two entries advance differently, so a
 * read shortly before the outage can seem to lie shortly after its beginning.
 */
function hasStoreBeenAway(
  { firstFailedAtMs, lastSentAtMs }: OutageSpan,
  readAtMs: number,
): boolean {
  return (
    readAtMs <= firstFailedAtMs || lastSentAtMs - readAtMs >= MIN_OUTAGE_MS
  );
}

export function createPublicationBounds(): PublicationBounds {
  const known = new Map<string, KnownVersion>();

  function add(
    { model, version }: WeightsVersion,
    bound: PublicationBound,
    outage?: OutageSpan,
  ) {
    const key = keyOf({ model, version });
    const former = known.get(key);
    const formerBound = former?.bound ?? UNKNOWN;
    known.set(key, {
      model,
      version,
      bound: {
        notBeforeMs: Math.max(formerBound.notBeforeMs, bound.notBeforeMs),
        isAfterOutage:
          formerBound.isAfterOutage === true && bound.isAfterOutage === true,
      },
      outage: outage ?? former?.outage,
    });
  }

  return {
    raise: (weights, bound) => add(weights, bound),
    learn: add,
    read(weights) {
      const { bound = UNKNOWN, outage } = known.get(keyOf(weights)) ?? {};
      const { notBeforeMs, isAfterOutage } = bound;
      const graceStartMs =
        outage !== undefined &&
        isAfterOutage === true &&
        hasStoreBeenAway(outage, notBeforeMs)
          ? Math.max(notBeforeMs, outage.lastSentAtMs)
          : notBeforeMs;
      return {
        notBeforeMs,
        graceStartMs,
        ...(isAfterOutage === true && { isAfterOutage }),
      };
    },
    listVersions: (model) =>
      [...known.values()]
        .filter((item) => item.model === model)
        .map(({ version }) => version)
        .sort((a, b) => b - a),
  };
}

function keyOf({ model, version }: WeightsVersion): string {
  return `${model} ${version}`;
}
