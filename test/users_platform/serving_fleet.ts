/** A fleet of processes that serves, and calls to its first entry. */

import {
  callGateway,
  FIRST_KEY,
  startPlatformFleet,
} from "../../stand_ins/users_platform/mod.ts";
import type {
  AttemptResult,
  PlatformFleet,
} from "../../stand_ins/users_platform/mod.ts";
import { waitUntil } from "../wait_until.ts";

export interface ServingFleet {
  readonly fleet: PlatformFleet;
  /** Sends one attempt with this id. */
  readonly call: (id: string) => Promise<AttemptResult>;
}

/** `onStarted` is called before the fleet serves, so that it can be closed. */
export async function startServingFleet(
  options: Parameters<typeof startPlatformFleet>[0] & {
    readonly callTimeoutMs: number;
  },
  onStarted: (fleet: PlatformFleet) => void,
): Promise<ServingFleet> {
  const fleet = await startPlatformFleet(options);
  onStarted(fleet);
  const call = (id: string) =>
    callGateway({
      url: fleet.gateways[0]!.callerUrl,
      attemptId: id,
      apiKey: FIRST_KEY,
      remainingMs: options.callTimeoutMs,
    });
  await waitUntil(
    "the entry answers",
    async () => (await call("probe")).status === 200,
  );
  return { fleet, call };
}
