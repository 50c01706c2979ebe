/**
 * Brings the endpoint to the version that the configuration wants: transfer,
 * wait for the turn, drain, order the load, verify what the engine reports.
 */

import type { Admission } from "../admission/mod.ts";
import type {
  EndpointClient,
  EndpointMonitor,
  Fencing,
} from "../engine/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { Counter } from "../metrics/mod.ts";
import type { WantedVersion, Weights } from "../weights/mod.ts";
import { createMeanLoad } from "./mean_load.ts";
import type { SwitchOrder, SwitchView } from "./switch_order.ts";

const TICK_MS = 250;
/** Others have no means to wake an agent that waits for them. */
const WAITING_TICK_MS = 100;
/** While the endpoint is out, each step costs its capacity. */
const SWITCHING_TICK_MS = 50;
const RETRY_MS = 1_000;
/** An engine that neither loads nor serves after this time is ordered again. */
const LOAD_START_LIMIT_MS = 5_000;
/** Far above the time of a load; frees an engine that stalls in one. */
const LOAD_LIMIT_MS = 10 * 60 * 1_000;

export type RolloutPhase =
  "idle" | "transferring" | "waiting" | "draining" | "loading";

export interface RolloutTarget extends WantedVersion {
  readonly model: string;
  readonly configVersion: number;
}

/** The part of the endpoint's control that a roll-out uses. */
export interface SwitchControl {
  beginSwitch(): void;
  setOrdered(digest: string): void;
  endSwitch(): void;
  configFloor(): number;
  isLeaving(): boolean;
  isServing(): boolean;
}

export interface RolloutOptions {
  readonly weights: Weights;
  readonly monitor: EndpointMonitor;
  readonly client: Pick<EndpointClient, "order">;
  readonly admission: Pick<Admission, "inFlight" | "queued" | "limit">;
  readonly control: SwitchControl;
  readonly order: SwitchOrder;
  /** The version wanted now; undefined for a plain service. */
  readonly readTarget: () => RolloutTarget | undefined;
  readonly readSwitchView: (
    targetDigest: string,
  ) => Pick<SwitchView, "ownHost" | "hosts" | "members">;
  readonly incarnation: string;
  readonly sourceUrl: (digest: string) => string;
  readonly monotonicMs: () => number;
  readonly wallMs: () => number;
  readonly orders: Counter;
  readonly logger: Logger;
}

export interface Rollout {
  phase(): RolloutPhase;
  /** Lets the loop look at the state at once. */
  wake(): void;
  start(): void;
  close(): Promise<void>;
}

export function createRollout(options: RolloutOptions): Rollout {
  const { weights, monitor, client, admission, control, order } = options;
  const { readTarget, monotonicMs, orders, logger } = options;
  let phase: RolloutPhase = "idle";
  let isClosed = false;
  let hasChanged = false;
  let isWakeable = false;
  let endSleep: () => void = () => undefined;
  let running: Promise<void> | undefined;
  let seenDigest: string | undefined;
  // The target of an agent that starts may be of any age.
  let seenSinceMs = -Infinity;
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

  /** Ends early, and at once if there was a change since the last one. */
  async function sleepUntilChange(durationMs: number) {
    isWakeable = true;
    if (!hasChanged) await sleep(durationMs);
    isWakeable = hasChanged = false;
  }

  function wake() {
    hasChanged = true;
    if (isWakeable) endSleep();
  }

  function noteTarget({ manifestDigest }: RolloutTarget) {
    if (manifestDigest === seenDigest) return;
    if (seenDigest !== undefined) seenSinceMs = monotonicMs();
    seenDigest = manifestDigest;
  }

  function noteLoad() {
    const limit = admission.limit();
    if (limit === 0) return;
    meanLoad.add((admission.inFlight() + admission.queued()) / limit);
  }

  /** False when the target changed or the agent is about to end. */
  function isStillWanted(target: RolloutTarget): boolean {
    if (isClosed || control.isLeaving()) return false;
    return readTarget()?.manifestDigest === target.manifestDigest;
  }

  function isServing(target: RolloutTarget): boolean {
    const { versionDigest, phase: engine } = monitor.status();
    const isUp = engine === "cold" || engine === "warm";
    return isUp && versionDigest === target.manifestDigest;
  }

  function mayOrder(target: RolloutTarget): boolean {
    const { phase: engine, versionDigest } = monitor.status();
    const isReachable = engine !== "down" && engine !== "unknown";
    // An order of an earlier agent of this host may still be under way.
    if (engine === "loading" && versionDigest === target.manifestDigest) {
      return false;
    }
    return isReachable && target.configVersion >= control.configFloor();
  }

  function readOwnState() {
    const { phase: engine } = monitor.status();
    if (!control.isServing()) return "none";
    return engine === "warm" ? "warm" : "cold";
  }

  function decide(target: RolloutTarget) {
    return order.decide({
      ...options.readSwitchView(target.manifestDigest),
      targetDigest: target.manifestDigest,
      targetAgeMs: monotonicMs() - seenSinceMs,
      ownState: readOwnState(),
      ownLoad: meanLoad.value(),
    });
  }

  async function run() {
    while (!isClosed) {
      try {
        await step();
      } catch (error) {
        orders.increment({ result: "error" });
        logger.error({ err: error }, "roll-out step failed");
      }
      await sleepUntilChange(phase === "waiting" ? WAITING_TICK_MS : TICK_MS);
    }
  }

  async function step() {
    noteLoad();
    const target = control.isLeaving() ? undefined : readTarget();
    if (target === undefined) {
      phase = "idle";
      // A leaving agent keeps what it holds, for peers that still fetch it.
      if (!control.isLeaving()) weights.want(undefined);
      return;
    }
    noteTarget(target);
    weights.want({
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
    if (!mayOrder(target) || decide(target) !== "switch") return;
    await switchTo(target);
  }

  async function switchTo(target: RolloutTarget) {
    logger.info({ digest: target.manifestDigest }, "switching version");
    control.beginSwitch();
    phase = "draining";
    try {
      await drain(target);
      if (isStillWanted(target)) await load(target);
    } finally {
      control.endSwitch();
    }
  }

  async function pollSoon() {
    await sleep(SWITCHING_TICK_MS);
    await monitor.poll();
  }

  /** Waits for own work and for work of an earlier agent at the engine. */
  async function drain(target: RolloutTarget) {
    const startedMs = options.wallMs();
    while (isStillWanted(target)) {
      const {
        inFlight,
        queued,
        reportedAtMs,
        phase: engine,
      } = monitor.status();
      const servesNothing = engine === "empty" || engine === "loading";
      const isEngineIdle = reportedAtMs > startedMs && inFlight + queued === 0;
      if (admission.inFlight() === 0 && (servesNothing || isEngineIdle)) return;
      await pollSoon();
    }
  }

  async function load(target: RolloutTarget) {
    phase = "loading";
    const current = readTarget() ?? target;
    const fencing: Fencing = [current.configVersion, options.incarnation];
    const result = await client.order({
      model: target.model,
      versionDigest: target.manifestDigest,
      sourceUrl: options.sourceUrl(target.manifestDigest),
      fencing,
    });
    orders.increment({ result });
    if (result !== "accepted") {
      logger.warn({ result, fencing }, "load order was not accepted");
      // The refusal's reason, a higher fencing number, comes with the state.
      await monitor.poll();
      // Not cut short by changes, which would repeat the order at their rate.
      return sleep(RETRY_MS);
    }
    control.setOrdered(target.manifestDigest);
    await waitUntilLoaded(target);
  }

  async function waitUntilLoaded(target: RolloutTarget) {
    const orderedMs = monotonicMs();
    let seenLoadingMs = orderedMs;
    while (isStillWanted(target)) {
      if (isServing(target)) {
        logger.info({ digest: target.manifestDigest }, "version loaded");
        return;
      }
      const { phase: engine } = monitor.status();
      if (engine === "loading") seenLoadingMs = monotonicMs();
      const isIdle = monotonicMs() - seenLoadingMs > LOAD_START_LIMIT_MS;
      const isStuck = monotonicMs() - orderedMs > LOAD_LIMIT_MS;
      if (engine === "down" || isIdle || isStuck) {
        orders.increment({ result: "not_loaded" });
        return;
      }
      await pollSoon();
    }
    orders.increment({ result: "withdrawn" });
  }

  return {
    phase: () => phase,
    wake,
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
