/**
 * The time to allow for a response, for an entry that has to end soon. A
 * request that could be cut off there is better refused: its caller can send it
 * to another entry at once. But most requests are answered long before their
 * time limit, and while the load balancer still sends requests here, refusing
 * all that have a later limit would cost each caller a repeat.
 */

import type { CallService, EngineProfile } from "../directory/mod.ts";
import { computePassMs } from "../scheduling/mod.ts";
import type { Call } from "./call.ts";
import { isRetryable } from "./call_state.ts";

/** Few responses take longer than this many times their latency objective. */
const OBJECTIVE_FACTOR = 3;
/** The caller of a lost request that must not run twice has no way out. */
const UNREPEATABLE_OBJECTIVE_FACTOR = 10;
/** Prefill of other requests delays the events of a stream. */
const EVENT_DELAY_FACTOR = 1.5;

export function computeResponseTimeMs(
  call: Omit<Call, "body">,
  service: CallService | undefined,
  nowMs: number,
): number {
  const { route } = call;
  const factor = isRetryable(call)
    ? OBJECTIVE_FACTOR
    : UNREPEATABLE_OBJECTIVE_FACTOR;
  const streamMs =
    route.kind === "stream" ? computeStreamMs(call, service?.engine) : 0;
  return Math.min(
    call.deadlineMs - nowMs,
    route.objectiveMs * factor + streamMs,
  );
}

/** From the first event to the last one, with all slots of the engine in use. */
function computeStreamMs(
  { headers }: Omit<Call, "body">,
  engine: EngineProfile | undefined,
): number {
  if (engine === undefined) return Infinity;
  const tokens = headers.maxOutputTokens ?? engine.usualAnswerTokens;
  const stepMs = computePassMs(engine, engine.slots) / engine.stepsPerPass;
  return tokens * stepMs * EVENT_DELAY_FACTOR;
}
