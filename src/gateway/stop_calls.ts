/**
 * Stops the calls of an entry that leaves: requests are accepted while the load
 * balancer still sends them here, then refused, and calls in progress may end
 * by themselves until shortly before the end of the grace period.
 */

import type { Logger } from "../logging/mod.ts";
import type { CallerServer } from "./caller_server.ts";
import { createShutdownSchedule } from "./shutdown_schedule.ts";

export interface StopCallsOptions {
  readonly callerServer: CallerServer;
  readonly graceMs: number;
  readonly nowMs: () => number;
  readonly logger: Logger;
}

/** Resolves when all calls have ended, or when there is no time left. */
export async function stopCalls(options: StopCallsOptions): Promise<void> {
  const { callerServer, graceMs, nowMs, logger } = options;
  const schedule = createShutdownSchedule(graceMs);
  const startedAtMs = nowMs();
  const waitUntil = (atMs: number) =>
    new Promise<void>((resolve) =>
      setTimeout(resolve, Math.max(0, startedAtMs + atMs - nowMs())),
    );
  callerServer.startClosing(startedAtMs + schedule.answerMs);
  await waitUntil(schedule.refuseMs);
  const drained = callerServer.drain();
  await Promise.race([drained, waitUntil(schedule.answerMs)]);
  const calls = callerServer.countCalls();
  if (calls === 0) return;
  logger.warn({ calls }, "answering the calls that have not ended");
  callerServer.endCalls();
  await Promise.race([drained, waitUntil(schedule.closeMs)]);
}
