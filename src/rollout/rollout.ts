/**
 * Updates the endpoint to the version that the configuration selects: transfers
 * the weights, waits until the endpoint may switch, drains it, orders the load
 * and verifies the version that the engine reports.
 */

import type { Admission } from "../admission/mod.ts";
import type {
  EndpointClient,
  EndpointMonitor,
  Fencing,
} from "../engine/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { Counter } from "../metrics/mod.ts";
import type { WantedVersion, WeightDistributor } from "../weights/mod.ts";
import { createMeanLoad } from "./mean_load.ts";
import type { SwitchDecider, SwitchView } from "./switch_decider.ts";

const STEP_INTERVAL_MS = 250;
/** Shorter, because changes of other agents do not trigger a step. */
const WAITING_STEP_INTERVAL_MS = 100;
/** Short, because the endpoint's capacity is unavailable during a switch. */
const SWITCHING_POLL_INTERVAL_MS = 50;
const RETRY_MS = 1_000;
/** The order is repeated if the engine neither loads nor serves by then. */
const LOAD_START_TIMEOUT_MS = 5_000;
/**
 * Far longer than any load; the order is repeated if the engine stalls in one.
 */
const LOAD_TIMEOUT_MS = 10 * 60 * 1_000;

export type RolloutPhase =
  "idle" | "transferring" | "waiting" | "draining" | "loading";

export interface RolloutTarget extends WantedVersion {
  readonly model: string;
  readonly configVersion: number;
}

/** Endpoint control functions that a roll-out uses. */
export interface SwitchControl {
  beginSwitch(): void;
  setOrderedDigest(digest: string): void;
  endSwitch(): void;
  configFloor(): number;
  isLeaving(): boolean;
  isServing(): boolean;
}

export interface RolloutOptions {
  readonly weights: WeightDistributor;
  readonly monitor: EndpointMonitor;
  readonly client: Pick<EndpointClient, "sendLoadOrder">;
  readonly admission: Pick<Admission, "inFlight" | "queued" | "limit">;
  readonly control: SwitchControl;
  readonly switchDecider: SwitchDecider;
  /** The configured version; undefined for a plain service. */
  readonly readTarget: () => RolloutTarget | undefined;
  readonly readSwitchView: (
    targetDigest: string,
  ) => Pick<SwitchView, "ownHost" | "hosts" | "members">;
  readonly incarnation: string;
  readonly sourceUrl: (digest: string) => string;
  readonly monotonicMs: () => number;
  readonly wallMs: () => number;
  readonly loadOrders: Counter;
  readonly logger: Logger;
}

export interface Rollout {
  phase(): RolloutPhase;
  /** Runs the next step without waiting for its interval. */
  triggerStep(): void;
  start(): void;
  close(): Promise<void>;
}

export function createRollout(options: RolloutOptions): Rollout {
  const { weights, monitor, client, admission, control, switchDecider } =
    options;
  const { readTarget, monotonicMs, loadOrders, logger } = options;
  let phase: RolloutPhase = "idle";
  let isClosed = false;
  let hasChanged = false;
  let isInterruptible = false;
  let endSleep: () => void = () => undefined;
  let running: Promise<void> | undefined;
  let lastTargetDigest: string | undefined;
  // The first target after a start may have been published at any time before.
  let targetSinceMs = -Infinity;
  const meanLoad = createMeanLoad(monotonicMs);

  function sleep(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, durationMs);
      endSleep = () => {
        clearTimeout(timer);
        resolve();
      };
      if (isClosed) endSleep();
    });
  }

  /**
   * Ends early on `triggerStep`, and at once if `triggerStep` was called since
   * the last sleep.
   */
  async function sleepUntilChange(durationMs: number) {
    isInterruptible = true;
    if (!hasChanged) await sleep(durationMs);
    isInterruptible = hasChanged = false;
  }

  function triggerStep() {
    hasChanged = true;
    if (isInterruptible) endSleep();
  }

  function recordTarget({ manifestDigest }: RolloutTarget) {
    if (manifestDigest === lastTargetDigest) return;
    if (lastTargetDigest !== undefined) targetSinceMs = monotonicMs();
    lastTargetDigest = manifestDigest;
  }

  function recordLoad() {
    const limit = admission.limit();
    if (limit === 0) return;
    meanLoad.add((admission.inFlight() + admission.queued()) / limit);
  }

  /** False if the target changed or the agent is shutting down. */
  function isStillWanted(target: RolloutTarget): boolean {
    if (isClosed || control.isLeaving()) return false;
    return readTarget()?.manifestDigest === target.manifestDigest;
  }

  function isServing(target: RolloutTarget): boolean {
    const { versionDigest, phase: enginePhase } = monitor.status();
    const isUp = enginePhase === "cold" || enginePhase === "warm";
    return isUp && versionDigest === target.manifestDigest;
  }

  function canOrder(target: RolloutTarget): boolean {
    const { phase: enginePhase, versionDigest } = monitor.status();
    const isReachable = enginePhase !== "down" && enginePhase !== "unknown";
    // An order of an earlier agent of this host may still be in progress.
    if (enginePhase === "loading" && versionDigest === target.manifestDigest) {
      return false;
    }
    return isReachable && target.configVersion >= control.configFloor();
  }

  function readOwnState() {
    const { phase: enginePhase } = monitor.status();
    if (!control.isServing()) return "none";
    return enginePhase === "warm" ? "warm" : "cold";
  }

  function decide(target: RolloutTarget) {
    return switchDecider.decide({
      ...options.readSwitchView(target.manifestDigest),
      targetDigest: target.manifestDigest,
      targetAgeMs: monotonicMs() - targetSinceMs,
      ownState: readOwnState(),
      ownLoad: meanLoad.value(),
    });
  }

  async function run() {
    while (!isClosed) {
      try {
        await step();
      } catch (error) {
        loadOrders.increment({ result: "error" });
        logger.error({ err: error }, "roll-out step failed");
      }
      await sleepUntilChange(
        phase === "waiting" ? WAITING_STEP_INTERVAL_MS : STEP_INTERVAL_MS,
      );
    }
  }

  async function step() {
    recordLoad();
    const target = control.isLeaving() ? undefined : readTarget();
    if (target === undefined) {
      phase = "idle";
      // A leaving agent keeps its chunks for peers that still fetch them.
      if (!control.isLeaving()) weights.setWantedVersion(undefined);
      return;
    }
    recordTarget(target);
    weights.setWantedVersion({
      manifestDigest: target.manifestDigest,
      sizeBytes: target.sizeBytes,
    });
    if (isServing(target)) {
      phase = "idle";
      return;
    }
    if (!weights.progress(target.manifestDigest).isComplete) {
      phase = "transferring";
      return;
    }
    phase = "waiting";
    if (!canOrder(target) || decide(target) !== "switch") return;
    await switchTo(target);
  }

  async function switchTo(target: RolloutTarget) {
    logger.info(
      { digest: target.manifestDigest },
      "switching the endpoint to another version",
    );
    control.beginSwitch();
    phase = "draining";
    try {
      await drain(target);
      if (isStillWanted(target)) await load(target);
    } finally {
      control.endSwitch();
    }
  }

  async function pollAfterInterval() {
    await sleep(SWITCHING_POLL_INTERVAL_MS);
    await monitor.poll();
  }

  /** Waits for own requests and for those of an earlier agent at the engine. */
  async function drain(target: RolloutTarget) {
    const startedMs = options.wallMs();
    while (isStillWanted(target)) {
      const {
        inFlight,
        queued,
        reportedAtMs,
        phase: enginePhase,
      } = monitor.status();
      const servesNothing =
        enginePhase === "empty" || enginePhase === "loading";
      const isEngineIdle = reportedAtMs > startedMs && inFlight + queued === 0;
      if (admission.inFlight() === 0 && (servesNothing || isEngineIdle)) return;
      await pollAfterInterval();
    }
  }

  async function load(target: RolloutTarget) {
    phase = "loading";
    const current = readTarget() ?? target;
    const fencing: Fencing = [current.configVersion, options.incarnation];
    const result = await client.sendLoadOrder({
      model: target.model,
      versionDigest: target.manifestDigest,
      sourceUrl: options.sourceUrl(target.manifestDigest),
      fencing,
    });
    loadOrders.increment({ result });
    if (result !== "accepted") {
      logger.warn({ result, fencing }, "load order was not accepted");
      // The state contains the reason of a refusal, a higher fencing token.
      await monitor.poll();
      // Not interrupted by changes, each of which would repeat the order.
      return sleep(RETRY_MS);
    }
    control.setOrderedDigest(target.manifestDigest);
    await waitUntilLoaded(target);
  }

  async function waitUntilLoaded(target: RolloutTarget) {
    const orderedAtMs = monotonicMs();
    let lastLoadingAtMs = orderedAtMs;
    while (isStillWanted(target)) {
      if (isServing(target)) {
        logger.info({ digest: target.manifestDigest }, "version loaded");
        return;
      }
      const { phase: enginePhase } = monitor.status();
      if (enginePhase === "loading") lastLoadingAtMs = monotonicMs();
      const isNotLoading =
        monotonicMs() - lastLoadingAtMs > LOAD_START_TIMEOUT_MS;
      const hasTimedOut = monotonicMs() - orderedAtMs > LOAD_TIMEOUT_MS;
      if (enginePhase === "down" || isNotLoading || hasTimedOut) {
        loadOrders.increment({ result: "not_loaded" });
        return;
      }
      await pollAfterInterval();
    }
    loadOrders.increment({ result: "withdrawn" });
  }

  return {
    phase: () => phase,
    triggerStep,
    start() {
      running ??= run();
    },
    async close() {
      isClosed = true;
      endSleep();
      await running;
    },
  };
}
