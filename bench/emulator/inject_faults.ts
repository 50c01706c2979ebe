/** Injects the faults of a scenario into a running fleet. */

import type { Fault } from "./scenario.ts";
import type { PlatformFleet } from "../../stand_ins/users_platform/mod.ts";

/** API key of the second configuration, which revokes the first one's key. */
export const SECOND_KEY = "key-2";

export interface FaultInjector {
  /** Current factor on the request rate. */
  loadFactor(): number;
  /** API key that callers currently use. */
  apiKey(): string;
  close(): void;
}

export function injectFaults(
  fleet: PlatformFleet,
  faults: readonly Fault[],
  firstKey: string,
): FaultInjector {
  const timers: NodeJS.Timeout[] = [];
  let loadFactor = 1;
  let apiKey = firstKey;

  function scheduleOnce(delayS: number, action: () => void) {
    timers.push(setTimeout(action, delayS * 1_000));
  }

  /** Runs `begin` when the fault starts and `end` when it ends. */
  function scheduleInterval(
    { at_s, for_s }: { readonly at_s: number; readonly for_s: number },
    begin: () => void,
    end: () => void,
  ) {
    scheduleOnce(at_s, begin);
    scheduleOnce(at_s + for_s, end);
  }

  function scheduleFault(fault: Fault) {
    const { store, origin } = fleet;
    switch (fault.kind) {
      case "store_down":
        return scheduleInterval(
          fault,
          () => (store.faults.isDown = true),
          () => (store.faults.isDown = false),
        );
      case "store_slow":
        return scheduleInterval(
          fault,
          () => (store.faults.delayMs = fault.delay_ms),
          () => (store.faults.delayMs = 0),
        );
      case "store_silent":
        return scheduleInterval(
          fault,
          () => (store.faults.areWatchesStalled = true),
          () => (store.faults.areWatchesStalled = false),
        );
      case "store_forgets":
        return scheduleOnce(fault.at_s, store.compactHistory);
      case "origin_down":
        return scheduleInterval(
          fault,
          () => (origin.faults.isDown = true),
          () => (origin.faults.isDown = false),
        );
      case "origin_spoils":
        return scheduleInterval(
          fault,
          () => (origin.faults.corruptShare = fault.share),
          () => (origin.faults.corruptShare = 0),
        );
      case "version_named":
        return scheduleOnce(fault.at_s, () =>
          fleet.publishVersion(fault.version),
        );
      case "worker_hangs":
        return scheduleInterval(
          fault,
          () => (fleet.workers[fault.index]!.faults.isHung = true),
          () => (fleet.workers[fault.index]!.faults.isHung = false),
        );
      case "worker_crashes":
        return scheduleInterval(
          fault,
          () => fleet.workers[fault.index]!.crash(),
          () => (fleet.workers[fault.index]!.faults.isDown = false),
        );
      case "worker_limited": {
        const { faults } = fleet.workers[fault.index]!;
        return scheduleInterval(
          fault,
          () => (faults.requestLimit = String(fault.limit_per_s)),
          () => (faults.requestLimit = undefined),
        );
      }
      case "worker_added":
        return scheduleOnce(fault.at_s, () => void fleet.addWorker(undefined));
      case "gateway_killed":
        return scheduleInterval(
          fault,
          () => fleet.gateways[fault.index]!.process.kill("SIGKILL"),
          () => void fleet.restartGateway(fault.index),
        );
      case "gateway_stopped":
        return scheduleOnce(fault.at_s, () => {
          const { process } = fleet.gateways[fault.index]!;
          process.once("exit", () => void fleet.restartGateway(fault.index));
          process.kill("SIGTERM");
        });
      case "burst":
        return scheduleInterval(
          fault,
          () => (loadFactor *= fault.x),
          () => (loadFactor /= fault.x),
        );
      case "key_revoked":
        return scheduleOnce(fault.at_s, () => {
          apiKey = SECOND_KEY;
          fleet.publishConfig(2, [SECOND_KEY]);
        });
    }
  }

  faults.forEach(scheduleFault);
  return {
    loadFactor: () => loadFactor,
    apiKey: () => apiKey,
    close: () => timers.forEach((timer) => clearTimeout(timer)),
  };
}
