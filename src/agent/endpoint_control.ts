/**
 * Derives from configuration, host list and endpoint state whether the endpoint
 * may be given work, and keeps admission in step with it.
 */

import type { Admission, AdmissionCondition } from "../admission/mod.ts";
import type { EndpointMonitor, EndpointStatus } from "../engine/mod.ts";
import type { AcceptedConfig, FleetView } from "../membership/mod.ts";
import type { NodeIdentity } from "../node/mod.ts";
import type { Phase, Trailer } from "../wire/mod.ts";
import { findOwnListing } from "./own_listing.ts";
import { createOwnLoad } from "./own_load.ts";
import { refuseAs } from "./refusal.ts";
import {
  findModel,
  findService,
  findServingVersion,
  isOut,
} from "./service_config.ts";

const RETRY_MS = 1_000;
/** A digest change takes at least the time of a load. */
const RETRY_LOADING_MS = 2_000;
/** Phases after which an endpoint has to warm up again. */
const TURNED_COLD: ReadonlySet<Phase> = new Set([
  "down",
  "empty",
  "loading",
  "cold",
]);

export interface EndpointControl {
  /** The reason why no new work is taken; undefined while it is. */
  closure(): Trailer | undefined;
  /** Digest that an answer must carry; undefined for a plain service. */
  digest(): string | undefined;
  phase(): Phase;
  /** Stops admission for a load, and says which digest must be loaded. */
  beginSwitch(): void;
  /** After an accepted order nothing but this digest is served. */
  setOrdered(digest: string): void;
  endSwitch(): void;
  /** An answer came from another digest than the engine had reported. */
  onWrongDigest(): void;
  /** The engine did not confirm that it stopped a request. */
  onCancelFailed(): void;
  /** A connection to the endpoint broke or was refused. */
  onConnectionLost(): void;
  shutDown(): void;
  stopForGood(): void;
  isLeaving(): boolean;
  /** True while the endpoint is given work. */
  isServing(): boolean;
  /** True after `stopForGood`. */
  isStopped(): boolean;
  /** Lowest configuration version that the engine has seen in an order. */
  configFloor(): number;
  refresh(): void;
}

export interface ControlOptions {
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
  options: ControlOptions,
): EndpointControl {
  const { identity, view, monitor, admission } = options;
  const ownLoad = createOwnLoad(admission, options.wallMs);
  let isSwitching = false;
  let isShuttingDown = false;
  let isStopped = false;
  let orderedDigest: string | undefined;
  /** Last digest that was served; it may leave the document before it does. */
  let servedDigest: string | undefined;
  let foreign: number | undefined;
  let configFloor = 0;
  /** Kept while the engine is down or unreadable. */
  let lastBootId: string | undefined;
  /** After an answer from another digest, until the engine reports again. */
  let isVoid = false;

  function isFresh(status: EndpointStatus): boolean {
    return status.reportedAtMs >= identity.startedAtMs;
  }

  function isListedLeaving(): boolean {
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

  function closeForEndpoint(): Trailer | undefined {
    const { phase, versionDigest } = monitor.status();
    if (phase === "down" || phase === "empty" || phase === "loading") {
      return refuseAs(
        "endpoint_cold",
        `The endpoint is ${phase}`,
        RETRY_LOADING_MS,
      );
    }
    // An endpoint that may have crashed would break further connections, and
    // the requests on them would count as a cause of the crash.
    if (phase === "unknown") {
      return refuseAs("endpoint_cold", "The endpoint is unknown", RETRY_MS);
    }
    if (readKind() === "plain") return undefined;
    if (!isVoid && isServable(versionDigest)) return undefined;
    return refuseAs(
      "endpoint_cold",
      "The engine does not report a version that may be served",
      RETRY_LOADING_MS,
    );
  }

  function readKind() {
    const config = view.config();
    if (config === undefined) return undefined;
    return findService(config.document, options.service)?.kind;
  }

  function closeForConfig(
    config: AcceptedConfig | undefined,
  ): Trailer | undefined {
    if (config === undefined || config.version < configFloor) {
      return refuseAs(
        "no_configuration",
        "The agent has no configuration as new as its engine's",
        RETRY_MS,
      );
    }
    if (isOut(config.document, identity.dataCentre)) {
      return refuseAs(
        "data_centre_out",
        `Data centre ${identity.dataCentre} is out`,
        RETRY_MS,
      );
    }
    if (findService(config.document, options.service) !== undefined) {
      return undefined;
    }
    return refuseAs(
      "unknown_service",
      `Service ${options.service} is not configured`,
      RETRY_MS,
    );
  }

  function closure(): Trailer | undefined {
    if (isStopped || isShuttingDown) {
      return refuseAs("shutting_down", "The agent is shutting down", RETRY_MS);
    }
    const forConfig = closeForConfig(view.config());
    if (forConfig !== undefined) return forConfig;
    if (isListedLeaving()) {
      return refuseAs("endpoint_leaving", "The endpoint is leaving", RETRY_MS);
    }
    if (isSwitching) {
      return refuseAs(
        "endpoint_cold",
        "The endpoint is changing its version",
        RETRY_LOADING_MS,
      );
    }
    return closeForEndpoint();
  }

  function readCondition(): AdmissionCondition {
    const closed = closure();
    if (closed !== undefined) {
      const { code, message = "", retryAfterMs = RETRY_MS } = closed;
      return {
        state: "closed",
        refusal: { code: code ?? "", message, retryAfterMs },
      };
    }
    const status = monitor.status();
    const isWarm = status.phase === "warm" && isFresh(status);
    return { state: isWarm ? "warm" : "cold" };
  }

  function refresh() {
    const condition = readCondition();
    admission.setCondition(condition);
    if (condition.state !== "closed" && readKind() === "language") {
      servedDigest = monitor.status().versionDigest;
    }
    options.onChange();
  }

  /** Work of an earlier agent still runs at the engine; only it can shrink. */
  function updateForeign(status: EndpointStatus, isNewBoot: boolean) {
    if (status.bootId === undefined) return;
    const own = ownLoad.readAt(status.reportedAtMs);
    const others = Math.max(0, status.inFlight + status.queued - own);
    if (isNewBoot) foreign = 0;
    else if (foreign === undefined || !isFresh(status)) {
      foreign = others;
    } else foreign = Math.min(foreign, others);
    admission.setForeign(foreign);
    if (!isFresh(status)) foreign = undefined;
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
      (previous.phase !== status.phase && TURNED_COLD.has(status.phase));
    if (hasChanged) admission.startOver();
    ownLoad.sample();
    // A restarted engine has forgotten the order.
    if (isNewBoot) orderedDigest = undefined;
    if (status.phase !== "unknown") isVoid = false;
    updateForeign(status, isNewBoot);
    const floor = status.fencing?.[0] ?? 0;
    if (floor > configFloor) {
      configFloor = floor;
      options.raiseConfigFloor(floor);
    }
    refresh();
  });
  view.onChange(refresh);

  return {
    closure,
    refresh,
    configFloor: () => configFloor,
    digest: () =>
      readKind() === "language" ? monitor.status().versionDigest : undefined,
    phase() {
      if (isStopped || isShuttingDown || isListedLeaving()) return "leaving";
      const config = view.config();
      if (config !== undefined && isOut(config.document, identity.dataCentre)) {
        return "leaving";
      }
      if (isSwitching) return "loading";
      const { phase } = monitor.status();
      const isServing = phase === "cold" || phase === "warm";
      if (isServing && closure() !== undefined) return "unknown";
      return phase;
    },
    beginSwitch() {
      isSwitching = true;
      refresh();
    },
    setOrdered(digest) {
      orderedDigest = digest;
      monitor.distrust();
      admission.startOver();
      refresh();
    },
    endSwitch() {
      isSwitching = false;
      refresh();
    },
    onWrongDigest() {
      isVoid = true;
      admission.startOver();
      monitor.distrust();
    },
    onCancelFailed() {
      // Counts as foreign work until a report shows that it is gone.
      if (foreign === undefined) return;
      foreign += 1;
      admission.setForeign(foreign);
    },
    onConnectionLost() {
      // Closed until a report shows whether the endpoint restarted.
      monitor.distrust();
    },
    shutDown() {
      isShuttingDown = true;
      refresh();
    },
    stopForGood() {
      isStopped = true;
      refresh();
    },
    isServing: () => closure() === undefined,
    isStopped: () => isStopped,
    isLeaving: () => isStopped || isShuttingDown || isListedLeaving(),
  };
}
