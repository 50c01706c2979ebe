/**
 * This process's copy of the published state: configuration, endpoints,
 * evacuated data centres and wanted weight versions, with the age of the copy.
 * No item ever reverts to an earlier version, also when the store comes back
 * from an older copy.
 */

import type { Logger } from "../logging/mod.ts";
import type { AgeClock } from "./age_clock.ts";
import {
  dropRemovedSince,
  hasOwnOrder,
  isOutdated,
  isRewritten,
  keyOf,
  listRemovals,
} from "./change_order.ts";
import { createDeferredChanges } from "./deferred_changes.ts";
import { createEndpointList } from "./endpoint_list.ts";
import type { ListedEndpoint } from "./endpoint_list.ts";
import { computeHoldMs } from "./former_era.ts";
import { createHeldChanges } from "./held_changes.ts";
import type { DirectoryChange, RoutingConfig } from "./records.ts";
import { createStoreEras } from "./store_eras.ts";
import type { OutageSpan } from "./store_outage.ts";
import {
  comparePositions,
  isOfFormerEra,
  isSameEra,
} from "./store_position.ts";
import type { StorePosition } from "./store_position.ts";
import { createWantedWeights } from "./wanted_weights.ts";
import type { WantedWeights } from "./wanted_weights.ts";

/** The changes that another process is missing. */
export interface DirectoryUpdate {
  readonly changes: readonly DirectoryChange[];
  /** True if `changes` is the complete state, not only newer changes. */
  readonly isWhole: boolean;
}

export interface Directory {
  /** Undefined while a starting process has not called `acceptCopy`. */
  config(): RoutingConfig | undefined;
  /** 0 before the first configuration. */
  configVersion(): number;
  position(): StorePosition;
  endpoints(): readonly ListedEndpoint[];
  endpointsOf(service: string): readonly ListedEndpoint[];
  endpoint(id: string): ListedEndpoint | undefined;
  isEvacuated(dataCentre: string): boolean;
  /** Newest first. */
  wantedWeights(model: string): readonly WantedWeights[];
  wantedModels(): readonly string[];
  /** Adds what another process knows about the publication of a version. */
  raiseNotBefore(hint: Omit<WantedWeights, "graceStartMs">): void;
  /** Time since the copy was last known to be complete. */
  ageMs(): number;
  /** Returns the changes that were new to this process. */
  apply(
    changes: readonly DirectoryChange[],
    position: StorePosition,
  ): readonly DirectoryChange[];
  /** Applies a complete listing; items missing from it are removed. */
  replace(changes: readonly DirectoryChange[], position: StorePosition): void;
  /** Records that the copy was complete at this time. */
  confirm(atMs: number): void;
  /**
   * Records that the store answered a request of this time with the state of
   * the copy. Confirms the copy unless the store may lack acknowledged changes.
   */
  confirmFromStore(atMs: number): void;
  /** On the age clock: from then on, the store's answers confirm the copy. */
  settledSinceMs(): number;
  /** The copy has been compared with the copies of peers, if there are any. */
  acceptCopy(options: { readonly isSettled: boolean }): void;
  isCopyAccepted(): boolean;
  /**
   * Returns the changes that a process at this position, with this version of
   * the configuration, is missing.
   */
  createUpdateSince(
    position: StorePosition,
    configVersion?: number,
  ): DirectoryUpdate;
  /**
   * Returns only what says something new since the position, without records
   * that were merely renewed. Undefined if that is not known, as removals
   * before the last complete read are not.
   */
  listContentSince(
    position: StorePosition,
    configVersion: number,
  ): readonly DirectoryChange[] | undefined;
  /** Two processes with the same content have the same digest. */
  digest(): number;
  /** The handler is called after each change. */
  onChange(handler: () => void): void;
}

export interface DirectoryOptions {
  readonly clock: AgeClock;
  readonly logger: Logger;
  /** Time for which a removal may still be due to a store outage; 0 for none. */
  readonly expiryWindowMs?: () => number;
  /** Period in which all requests to the store have failed. */
  readonly storeOutage?: () => OutageSpan | undefined;
  /**
   * True if a starting process compares its copy with its peers before it is
   * used, and then calls `acceptCopy`.
   */
  readonly comparesWithPeers?: boolean;
  readonly schedule?: (handle: () => void, delayMs: number) => void;
}

export function createDirectory(options: DirectoryOptions): Directory {
  const {
    clock,
    logger,
    expiryWindowMs = () => 0,
    storeOutage = () => undefined,
    comparesWithPeers = false,
    schedule = (handle, delayMs) => void setTimeout(handle, delayMs).unref(),
  } = options;
  const eras = createStoreEras({ clock, logger, ageMs, comparesWithPeers });
  const deferred = createDeferredChanges({ schedule, onDue: applyDeferred });
  const latestChanges = createHeldChanges();
  const endpoints = createEndpointList({
    ...{ clock, logger, expiryWindowMs },
    onRemovedLate: notify,
  });
  const evacuated = new Set<string>();
  const weights = createWantedWeights({
    ...{ clock, logger, storeOutage },
    confirmedAtMs: () => confirmedAtMs,
    onRaised: notify,
  });
  /** Revisions of the last evacuations that later changes replaced, by key. */
  const replacedRevisions = new Map<string, number>();
  /** Revisions of the held version of the configuration in all eras. */
  const configRevisions = new Set<number>();
  const handlers: (() => void)[] = [];
  let config: RoutingConfig | undefined;
  let confirmedAtMs = -Infinity;
  let answeredAtMs = -Infinity;

  function applyChange(change: DirectoryChange): boolean {
    const key = keyOf(change);
    if (change.type === "config") return applyConfig(key, change);
    const isKnown = [latestChanges.get(key), deferred.get(key)].some(
      (known) => known !== undefined && isOutdated(change, known),
    );
    if (isKnown) return false;
    if (isRenewal(key, change)) {
      setLatest(key, change);
      return false;
    }
    const holdMs = findHoldMs(key, change);
    if (holdMs > 0) {
      deferred.defer(key, change, holdMs);
      return false;
    }
    deferred.drop(key);
    setLatest(key, change);
    switch (change.type) {
      case "endpoint":
        endpoints.apply(change.id, change.endpoint);
        break;
      case "evacuation":
        applyEvacuation(change);
        break;
      case "weights":
        weights.learn(change);
        break;
    }
    return true;
  }

  /** Most changes are such; handlers of changes need not be called for them. */
  function isRenewal(key: string, change: DirectoryChange): boolean {
    return (
      deferred.get(key) === undefined && latestChanges.isRenewal(key, change)
    );
  }

  /** One change that cannot be applied must not hold up the others. */
  function applyGuarded(change: DirectoryChange): boolean {
    try {
      return applyChange(change);
    } catch (error) {
      const { type, era, revision } = change;
      logger.error(
        { err: error, type, era, revision },
        "failed to apply a change of the published state",
      );
      return false;
    }
  }

  /** Time for which knowledge of a former era overrules the change. */
  function findHoldMs(key: string, change: DirectoryChange): number {
    const held = latestChanges.get(key);
    if (held === undefined || !isOfFormerEra(held, change)) return 0;
    return computeHoldMs(change, {
      held,
      formerRecord:
        change.type === "endpoint"
          ? endpoints.removedRecord(change.id)
          : undefined,
      replacedRevision: replacedRevisions.get(key),
      // A change of an era before the current one can be from that era's copy.
      copyRevision: eras.isFormer(change) ? Infinity : eras.copyRevision(),
    });
  }

  function setLatest(key: string, change: DirectoryChange) {
    const previous = latestChanges.get(key);
    if (previous?.type === "evacuation" && previous.isOut) {
      replacedRevisions.set(key, previous.revision);
    }
    latestChanges.set(key, change);
  }

  function applyDeferred(key: string, change: DirectoryChange) {
    setLatest(key, change);
    if (change.type === "evacuation") applyEvacuation(change);
    if (change.type === "endpoint") {
      if (change.endpoint === undefined) endpoints.remove(change.id);
      else endpoints.apply(change.id, change.endpoint);
    }
    notify();
  }

  function applyEvacuation(
    change: Extract<DirectoryChange, { type: "evacuation" }>,
  ) {
    if (evacuated.has(change.dataCentre) === change.isOut) return;
    if (change.isOut) evacuated.add(change.dataCentre);
    else evacuated.delete(change.dataCentre);
    logger.info({ ...change }, "evacuation state of a data centre changed");
  }

  function applyConfig(
    key: string,
    change: Extract<DirectoryChange, { type: "config" }>,
  ): boolean {
    const next = change.config;
    const held = latestChanges.get(key);
    const isCurrent = !eras.isFormer(change);
    const known = { held, revisions: configRevisions };
    if (isCurrent && isRewritten(change, known, eras.copyRevision())) {
      eras.settle();
    }
    if (next.version === config?.version) configRevisions.add(change.revision);
    if (config !== undefined && next.version <= config.version) {
      const isSame = next.version === config.version;
      if (isSame && held !== undefined && comparePositions(change, held) > 0) {
        latestChanges.set(key, { ...change, config });
      }
      return false;
    }
    latestChanges.set(key, change);
    configRevisions.clear();
    configRevisions.add(change.revision);
    logger.info(
      { version: next.version, former: config?.version, ageMs: ageMs() },
      "configuration activated",
    );
    config = next;
    return true;
  }

  function callGuarded(handle: () => void) {
    try {
      handle();
    } catch (error) {
      logger.error(
        { err: error },
        "a handler of changes of the published state failed",
      );
    }
  }

  function notify() {
    handlers.forEach(callGuarded);
  }

  function ageMs(): number {
    return clock.nowMs() - confirmedAtMs;
  }

  function applyAll(
    changes: readonly DirectoryChange[],
    upTo: StorePosition,
  ): readonly DirectoryChange[] {
    const isFirst = eras.completeSince() === undefined;
    const isContinuation =
      isFirst || (!eras.isFormer(upTo) && !eras.isNewEra(upTo));
    if (isContinuation) eras.advance(upTo);
    const applied = changes
      .filter((change) => isContinuation || hasOwnOrder(change))
      .filter((change) => applyGuarded(change));
    if (applied.length > 0) notify();
    return applied;
  }

  /** What a complete read of this process lacked comes late from a peer. */
  function apply(
    changes: readonly DirectoryChange[],
    upTo: StorePosition,
  ): readonly DirectoryChange[] {
    const completeSince = eras.completeSince();
    const current =
      completeSince === undefined
        ? changes
        : dropRemovedSince(changes, completeSince);
    return applyAll(current, upTo);
  }

  function confirm(atMs: number) {
    confirmedAtMs = Math.max(confirmedAtMs, atMs);
  }

  return {
    config: () => (eras.isAccepted() ? config : undefined),
    configVersion: () => config?.version ?? 0,
    position: eras.position,
    endpoints: endpoints.list,
    endpointsOf: endpoints.listOf,
    endpoint: endpoints.get,
    isEvacuated: (dataCentre) => evacuated.has(dataCentre),
    wantedWeights: weights.list,
    wantedModels: weights.listModels,
    raiseNotBefore: weights.raiseNotBefore,
    ageMs,
    apply,
    replace(changes, upTo) {
      if (eras.isNewEra(upTo)) {
        deferred.dropAll();
        eras.advance(upTo);
      }
      const removals = eras.isFormer(upTo)
        ? []
        : listRemovals({
            held: latestChanges.list(),
            deferred: deferred.list(),
            changes,
            upTo,
          });
      eras.noteCompleteRead(upTo);
      applyAll([...removals, ...changes], upTo);
    },
    confirm,
    confirmFromStore(atMs) {
      answeredAtMs = Math.max(answeredAtMs, atMs);
      if (answeredAtMs >= eras.settledSinceMs()) confirm(answeredAtMs);
    },
    settledSinceMs: eras.settledSinceMs,
    acceptCopy({ isSettled }) {
      if (eras.isAccepted()) return;
      eras.accept();
      if (isSettled) {
        eras.settle();
        confirm(answeredAtMs);
      }
      notify();
    },
    isCopyAccepted: eras.isAccepted,
    createUpdateSince(position, heldConfigVersion) {
      const completeSince = eras.completeSince();
      const isWhole =
        completeSince === undefined ||
        comparePositions(position, completeSince) < 0;
      const isMissing = (change: DirectoryChange) => {
        if (change.type === "config" && heldConfigVersion !== undefined) {
          return change.config.version > heldConfigVersion;
        }
        return (
          isWhole ||
          comparePositions(change, position) > 0 ||
          (eras.isFormer(change) &&
            (change.type === "weights" ||
              deferred.get(keyOf(change)) !== undefined))
        );
      };
      return {
        changes: [
          ...latestChanges.list().filter(isMissing),
          ...deferred.list(),
        ],
        isWhole,
      };
    },
    listContentSince(position, heldConfigVersion) {
      const completeSince = eras.completeSince();
      const isKnown =
        completeSince !== undefined &&
        isSameEra(position, completeSince) &&
        comparePositions(position, completeSince) >= 0 &&
        deferred.list().length === 0;
      if (!isKnown) return undefined;
      const held = latestChanges.get("config");
      const isConfigNewer = (config?.version ?? 0) > heldConfigVersion;
      return [
        ...latestChanges
          .listContentSince(position)
          .filter(({ type }) => type !== "config"),
        ...(isConfigNewer && held !== undefined ? [held] : []),
      ];
    },
    digest: latestChanges.digest,
    onChange: (handler) => void handlers.push(handler),
  };
}
