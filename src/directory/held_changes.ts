/**
 * The last change of each item of the published state. Endpoints renew their
 * records every second or so without a change of what they say, so an item also
 * has the position at which its content last changed.
 */

import { createHash } from "node:crypto";
import { keyOf } from "./change_order.ts";
import type { DirectoryChange } from "./records.ts";
import { comparePositions, isSameEra, pickPosition } from "./store_position.ts";
import type { StorePosition } from "./store_position.ts";

export interface HeldChanges {
  get(key: string): DirectoryChange | undefined;
  set(key: string, change: DirectoryChange): void;
  list(): readonly DirectoryChange[];
  /** Changes whose content is later than the position. */
  listContentSince(position: StorePosition): readonly DirectoryChange[];
  /** True if the change only renews what the item says already. */
  isRenewal(key: string, change: DirectoryChange): boolean;
  /** The same in every process that holds the same content. */
  digest(): number;
}

interface HeldItem {
  readonly change: DirectoryChange;
  readonly content: string;
  /** Position of the change that brought the content. */
  readonly contentPosition: StorePosition;
}

/** Content of removed items, which counts like that of unknown ones. */
const NO_CONTENT = "";
const DIGEST_RANGE = 2 ** 32;

export function createHeldChanges(): HeldChanges {
  const items = new Map<string, HeldItem>();
  let digest = 0;

  return {
    get: (key) => items.get(key)?.change,
    set(key, change) {
      const held = items.get(key);
      const content = describeContent(change);
      const isRenewed = isRenewalOf(held, change, content);
      if (held?.content !== content) {
        digest += hashContent(content) - hashContent(held?.content);
        digest = (digest + DIGEST_RANGE) % DIGEST_RANGE;
      }
      const contentPosition = isRenewed
        ? held!.contentPosition
        : pickPosition(change);
      items.set(key, { change, content, contentPosition });
    },
    list: () => [...items.values()].map(({ change }) => change),
    listContentSince: (position) =>
      [...items.values()]
        .filter((item) => comparePositions(item.contentPosition, position) > 0)
        .map(({ change }) => change),
    isRenewal: (key, change) =>
      isRenewalOf(items.get(key), change, describeContent(change)),
    digest: () => digest,
  };
}

function isRenewalOf(
  held: HeldItem | undefined,
  change: DirectoryChange,
  content: string,
): boolean {
  return (
    held !== undefined &&
    isSameEra(held.change, change) &&
    held.content === content
  );
}

/**
 * Without the remaining time for which an endpoint is cold, which each renewal
 * lowers and nothing uses.
 */
function describeContent(change: DirectoryChange): string {
  switch (change.type) {
    case "config":
      return `${keyOf(change)} ${change.config.version}`;
    case "evacuation":
      return change.isOut ? keyOf(change) : NO_CONTENT;
    case "weights":
      return change.version === undefined
        ? NO_CONTENT
        : `${keyOf(change)} ${change.version}`;
    case "endpoint": {
      if (change.endpoint === undefined) return NO_CONTENT;
      const { id, service, address, dataCentre, slots, isDraining, ...other } =
        change.endpoint;
      const models = other.models.map(({ name, version }) => [name, version]);
      return JSON.stringify([
        "endpoint",
        ...[id, service, address, dataCentre, slots, isDraining],
        other.startedAtMs ?? "",
        models,
      ]);
    }
  }
}

function hashContent(content: string | undefined): number {
  return content === undefined || content === NO_CONTENT
    ? 0
    : createHash("sha256").update(content).digest().readUInt32BE(0);
}
