/**
 * Simulates the callers of a scenario: requests arrive at random times, each at
 * a gateway that is ready. A refused caller retries after the delay that the
 * refusal gave.
 */

import type { Random } from "../random.ts";
import { callGateway } from "../../stand_ins/users_platform/mod.ts";
import type { AttemptResult } from "../../stand_ins/users_platform/mod.ts";
import type { Scenario } from "./scenario.ts";
import type { LoadBalancer } from "./load_balancer.ts";
import type { FaultInjector } from "./inject_faults.ts";

const STATUS_NOT_RUN = 503;
const NO_RESPONSE_RETRY_MS = 50;

export type CallerOutcome = "in_time" | "late" | "refused" | "failed";

export interface CallerResult {
  /** Start of the call, in seconds from the start of the load. */
  readonly atS: number;
  readonly outcome: CallerOutcome;
  /** The last attempt decides the outcome. */
  readonly attempts: readonly AttemptResult[];
}

export interface CallerOptions {
  readonly scenario: Scenario;
  readonly balancer: LoadBalancer;
  readonly faults: FaultInjector;
  readonly random: Random;
}

export async function simulateCallers(
  options: CallerOptions,
): Promise<readonly CallerResult[]> {
  const { scenario, faults, random } = options;
  const startedAtMs = performance.now();
  const elapsedS = () => (performance.now() - startedAtMs) / 1_000;
  const running: Promise<CallerResult>[] = [];
  while (elapsedS() < scenario.duration_s) {
    running.push(simulateCaller(options, running.length, elapsedS()));
    const requestsPerS = scenario.requests_per_s * faults.loadFactor();
    await delay((-Math.log(1 - random()) / requestsPerS) * 1_000);
  }
  return Promise.all(running);
}

async function simulateCaller(
  options: CallerOptions,
  index: number,
  atS: number,
): Promise<CallerResult> {
  const { scenario, balancer, faults } = options;
  const startedAtMs = performance.now();
  const attempts: AttemptResult[] = [];
  for (;;) {
    const elapsedMs = performance.now() - startedAtMs;
    const result = await callGateway({
      url: balancer.chooseUrl(),
      attemptId: `c${index}-${attempts.length}`,
      apiKey: faults.apiKey(),
      remainingMs: scenario.time_limit_ms - elapsedMs,
    });
    attempts.push(result);
    const isFinal = result.status !== 0 && result.status !== STATUS_NOT_RUN;
    const timeLeftMs =
      scenario.time_limit_ms - (performance.now() - startedAtMs);
    const retryDelayMs = result.retryAfterMs ?? NO_RESPONSE_RETRY_MS;
    const canRetry =
      attempts.length <= scenario.retries && retryDelayMs < timeLeftMs / 3;
    if (isFinal || !canRetry) {
      const timeToFirstEventMs = elapsedMs + (result.firstEventMs ?? 0);
      return {
        atS,
        attempts,
        outcome: classifyOutcome(scenario, result, timeToFirstEventMs),
      };
    }
    await delay(retryDelayMs);
  }
}

function classifyOutcome(
  scenario: Scenario,
  result: AttemptResult,
  timeToFirstEventMs: number,
): CallerOutcome {
  if (result.status === STATUS_NOT_RUN) return "refused";
  if (result.status !== 200 || !result.isWhole) return "failed";
  const isInTime =
    timeToFirstEventMs <= scenario.objective_ms &&
    result.longestPauseMs <= scenario.pause_objective_ms;
  return isInTime ? "in_time" : "late";
}

function delay(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
