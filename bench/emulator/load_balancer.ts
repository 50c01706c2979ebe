/**
 * Load balancer of the emulator. Like the platform's, it picks a gateway whose
 * readiness check succeeds.
 */

import type { Random } from "../random.ts";
import { pickOne } from "../random.ts";
import type { PlatformFleet } from "../../stand_ins/users_platform/mod.ts";

const POLL_MS = 250;

export interface LoadBalancer {
  chooseUrl(): string;
  close(): void;
}

export function startLoadBalancer(
  fleet: PlatformFleet,
  random: Random,
): LoadBalancer {
  let readyUrls = fleet.gateways.map(({ callerUrl }) => callerUrl);

  async function poll() {
    const polledUrls = await Promise.all(
      fleet.gateways.map(({ readyUrl, callerUrl }) =>
        fetch(readyUrl).then(
          ({ status }) => (status === 200 ? callerUrl : undefined),
          () => undefined,
        ),
      ),
    );
    readyUrls = polledUrls.filter((url) => url !== undefined);
  }

  const timer = setInterval(() => void poll(), POLL_MS);
  return {
    chooseUrl() {
      const all = fleet.gateways.map(({ callerUrl }) => callerUrl);
      return pickOne(random, readyUrls.length > 0 ? readyUrls : all);
    },
    close: () => clearInterval(timer),
  };
}
