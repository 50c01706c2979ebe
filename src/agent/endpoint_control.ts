/**
 * Derives from the configuration, the host list and the endpoint's state
 * whether the endpoint accepts new requests, and updates admission accordingly.
 */

import type { Admission, AdmissionCondition } from "../admission/mod.ts";
import type { EndpointMonitor, EndpointStatus } from "../engine/mod.ts";
import type { AcceptedConfig, FleetView } from "../membership/mod.ts";
import type { NodeIdentity } from "../node/mod.ts";
import type { Phase, Trailer } from "../wire/mod.ts";
import { findOwnListing } from "./own_listing.ts";
import { createLoadHistory } from "./load_history.ts";
import { createRefusal } from "./refusal.ts";
import {
  findModel,
  findService,
  findServingVersion,
  isDataCentreOut,
} from "./service_config.ts";

const RETRY_AFTER_MS = 1_000;
/** Changing the version takes at least as long as loading the weights. */
const RETRY_AFTER_LOADING_MS = 2_000;
/** Entering one of these phases means that the endpoint must warm up again. */
const PHASES_REQUIRING_WARM_UP: ReadonlySet<Phase> = new Set([
  "down",
  "empty",
  "loading",
  "cold",
]);

export interface EndpointControl {
  /** Trailer that refuses new requests; undefined while they are accepted. */
  findRefusal(): Trailer | undefined;
  /** Digest that an answer must carry; undefined for a plain service. */
  digest(): string | undefined;
  phase(): Phase;
  /** Stops admission until `endSwitch`. */
  beginSwitch(): void;
  /**
   * After an accepted order only its digest and the configured serving version
   * are served.
   */
  setOrderedDigest(digest: string): void;
  endSwitch(): void;
  /** An answer carried another digest than the engine had reported. */
  onWrongDigest(): void;
  /** The engine did not confirm a cancellation. */
  onCancelFailed(): void;
  /** A connection to the endpoint was lost or refused. */
  onConnectionLost(): void;
  shutDown(): void;
  stopPermanently(): void;
  isLeaving(): boolean;
  /** True while new requests are accepted. */
  isServing(): boolean;
  /** True once the agent has stopped permanently. */
  isStopped(): boolean;
  /** Lowest configuration version that the engine still accepts in an order. */
  configFloor(): number;
  refresh(): void;
}

export interface EndpointControlOptions {
  readonly identity: NodeIdentity;
  readonly service: string;
  readonly view: FleetView;
  readonly monitor: EndpointMonitor;
  readonly admission: Admission;
  readonly wallMs: () => number;
  readonly raiseConfigFloor: (version: number) => void;
  readonly onChange: () => void;
}

export function createEndpointControl(
  options: EndpointControlOptions,
): EndpointControl {
  const { identity, view, monitor, admission } = options;
  const loadHistory = createLoadHistory(admission, options.wallMs);
  let isSwitching = false;
  let isShuttingDown = false;
  let isStopped = false;
  let orderedDigest: string | undefined;
  /** Last served digest; still servable if the document no longer lists it. */
  let servedDigest: string | undefined;
  let externalRequests: number | undefined;
  let configFloor = 0;
  /** Last known boot id; retained while the engine reports none. */
  let lastBootId: string | undefined;
  /** Set by an answer with another digest, until the engine reports again. */
  let isVersionUncertain = false;

  function isReportedSinceStart(status: EndpointStatus): boolean {
    return status.reportedAtMs >= identity.startedAtMs;
  }

  function isListedAsLeaving(): boolean {
    return findOwnListing({ view, identity })?.state === "leaving";
  }

  function isServable(digest: string | undefined): boolean {
    if (digest === undefined) return false;
    const config = view.config();
    if (config === undefined) return false;
    const service = findService(config.document, options.service);
    if (service?.kind !== "language") return false;
    if (orderedDigest !== undefined) {
      const serving = findServingVersion(config.document, service);
      return digest === orderedDigest || digest === serving?.digest;
    }
    if (digest === servedDigest) return true;
    const versions = findModel(config.document, service)?.versions ?? [];
    return versions.some((version) => version.digest === digest);
  }

  function findEndpointRefusal(): Trailer | undefined {
    const { phase, versionDigest } = monitor.status();
    if (phase === "down" || phase === "empty" || phase === "loading") {
      return createRefusal(
        "endpoint_cold",
        `The endpoint is ${phase}`,
        RETRY_AFTER_LOADING_MS,
      );
    }
    // The endpoint may have crashed. Further requests would lose their
    // connections too and be recorded as causes of the crash.
    if (phase === "unknown") {
      return createRefusal(
        "endpoint_cold",
        "The endpoint is unknown",
        RETRY_AFTER_MS,
      );
    }
    if (readKind() === "plain") return undefined;
    if (!isVersionUncertain && isServable(versionDigest)) return undefined;
    return createRefusal(
      "endpoint_cold",
      "The engine does not report a version that may be served",
      RETRY_AFTER_LOADING_MS,
    );
  }

  function readKind() {
    const config = view.config();
    if (config === undefined) return undefined;
    return findService(config.document, options.service)?.kind;
  }

  function findConfigRefusal(
    config: AcceptedConfig | undefined,
  ): Trailer | undefined {
    if (config === undefined || config.version < configFloor) {
      return createRefusal(
        "no_configuration",
        "The agent has no configuration as new as its engine's",
        RETRY_AFTER_MS,
      );
    }
    if (isDataCentreOut(config.document, identity.dataCentre)) {
      return createRefusal(
        "data_centre_out",
        `Data centre ${identity.dataCentre} is out`,
        RETRY_AFTER_MS,
      );
    }
    if (findService(config.document, options.service) !== undefined) {
      return undefined;
    }
    return createRefusal(
      "unknown_service",
      `Service ${options.service} is not configured`,
      RETRY_AFTER_MS,
    );
  }

  function findRefusal(): Trailer | undefined {
    if (isStopped || isShuttingDown) {
      return createRefusal(
        "shutting_down",
        "The agent is shutting down",
        RETRY_AFTER_MS,
      );
    }
    const configRefusal = findConfigRefusal(view.config());
    if (configRefusal !== undefined) return configRefusal;
    if (isListedAsLeaving()) {
      return createRefusal(
        "endpoint_leaving",
        "The endpoint is leaving",
        RETRY_AFTER_MS,
      );
    }
    if (isSwitching) {
      return createRefusal(
        "endpoint_cold",
        "The endpoint is changing its version",
        RETRY_AFTER_LOADING_MS,
      );
    }
    return findEndpointRefusal();
  }

  function computeCondition(): AdmissionCondition {
    const refusal = findRefusal();
    if (refusal !== undefined) {
      const { code, message = "", retryAfterMs = RETRY_AFTER_MS } = refusal;
      return {
        state: "closed",
        refusal: { code: code ?? "", message, retryAfterMs },
      };
    }
    const status = monitor.status();
    const isWarm = status.phase === "warm" && isReportedSinceStart(status);
    return { state: isWarm ? "warm" : "cold" };
  }

  function refresh() {
    const condition = computeCondition();
    admission.setCondition(condition);
    if (condition.state !== "closed" && readKind() === "language") {
      servedDigest = monitor.status().versionDigest;
    }
    options.onChange();
  }

  /**
   * Estimates the requests of an earlier agent that the engine still runs. No
   * new ones can be added, so the estimate only decreases.
   */
  function updateExternalRequests(status: EndpointStatus, isNewBoot: boolean) {
    if (status.bootId === undefined) return;
    const ownCount = loadHistory.readAt(status.reportedAtMs);
    const othersCount = Math.max(0, status.inFlight + status.queued - ownCount);
    if (isNewBoot) externalRequests = 0;
    else if (externalRequests === undefined || !isReportedSinceStart(status)) {
      externalRequests = othersCount;
    } else externalRequests = Math.min(externalRequests, othersCount);
    admission.setExternalInFlight(externalRequests);
    if (!isReportedSinceStart(status)) externalRequests = undefined;
  }

  monitor.onStatus((status, previous) => {
    const isNewBoot =
      lastBootId !== undefined &&
      status.bootId !== undefined &&
      status.bootId !== lastBootId;
    lastBootId = status.bootId ?? lastBootId;
    const hasChanged =
      isNewBoot ||
      status.versionDigest !== previous.versionDigest ||
      String(status.fencing) !== String(previous.fencing) ||
      (previous.phase !== status.phase &&
        PHASES_REQUIRING_WARM_UP.has(status.phase));
    if (hasChanged) admission.resetLimit();
    loadHistory.sample();
    // A restart discards the order at the engine.
    if (isNewBoot) orderedDigest = undefined;
    if (status.phase !== "unknown") isVersionUncertain = false;
    updateExternalRequests(status, isNewBoot);
    const floor = status.fencing?.[0] ?? 0;
    if (floor > configFloor) {
      configFloor = floor;
      options.raiseConfigFloor(floor);
    }
    refresh();
  });
  view.onChange(refresh);

  return {
    findRefusal,
    refresh,
    configFloor: () => configFloor,
    digest: () =>
      readKind() === "language" ? monitor.status().versionDigest : undefined,
    phase() {
      if (isStopped || isShuttingDown || isListedAsLeaving()) return "leaving";
      const config = view.config();
      if (
        config !== undefined &&
        isDataCentreOut(config.document, identity.dataCentre)
      ) {
        return "leaving";
      }
      if (isSwitching) return "loading";
      const { phase } = monitor.status();
      const isServing = phase === "cold" || phase === "warm";
      if (isServing && findRefusal() !== undefined) return "unknown";
      return phase;
    },
    beginSwitch() {
      isSwitching = true;
      refresh();
    },
    setOrderedDigest(digest) {
      orderedDigest = digest;
      monitor.invalidateStatus();
      admission.resetLimit();
      refresh();
    },
    endSwitch() {
      isSwitching = false;
      refresh();
    },
    onWrongDigest() {
      isVersionUncertain = true;
      admission.resetLimit();
      monitor.invalidateStatus();
    },
    onCancelFailed() {
      // Counted as external until a report shows that the engine has ended it.
      if (externalRequests === undefined) return;
      externalRequests += 1;
      admission.setExternalInFlight(externalRequests);
    },
    onConnectionLost() {
      // Refuses new requests until a report shows whether the endpoint
      // restarted.
      monitor.invalidateStatus();
    },
    shutDown() {
      isShuttingDown = true;
      refresh();
    },
    stopPermanently() {
      isStopped = true;
      refresh();
    },
    isServing: () => findRefusal() === undefined,
    isStopped: () => isStopped,
    isLeaving: () => isStopped || isShuttingDown || isListedAsLeaving(),
  };
}
