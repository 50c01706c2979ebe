/** State of one call over its attempts. */

import type { CallService } from "../directory/mod.ts";
import type { AttemptOutcome } from "./attempt.ts";
import type { Call } from "./call.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import type { Choice } from "./choose_endpoint.ts";

export type Sending = Extract<Choice, { type: "send" }>;
export type NoChoice = Extract<Choice, { type: "none" }>;

export interface CallState {
  /** Attempts in which an endpoint may have run the request. */
  runs: number;
  unsent: number;
  notRun: number;
  readonly tried: Set<string>;
  lastEventId: string | undefined;
  weightVersion: number | undefined;
  /** From sending the last attempt to its response head. */
  headMs: number | undefined;
  /** A server error of an endpoint, passed on if no later attempt succeeds. */
  failure: Extract<AttemptOutcome, { type: "answered" }> | undefined;
}

/** A call for which an endpoint is being chosen. */
export interface Step {
  readonly call: Call;
  readonly service: CallService;
  readonly state: CallState;
}

/** A call and the response that its caller is waiting for. */
export interface Ending {
  readonly call: Call;
  readonly state: CallState;
  readonly answer: CallerAnswer;
}

export interface Settling extends Ending {
  readonly outcome: AttemptOutcome;
  readonly choice: Sending;
}

export function createState(call: Call): CallState {
  return {
    runs: 0,
    unsent: 0,
    notRun: 0,
    tried: new Set(),
    lastEventId: call.headers.lastEventId,
    weightVersion: undefined,
    headMs: undefined,
    failure: undefined,
  };
}

/** True if the request may run more than once. */
export function isRepeatable({ route }: Call): boolean {
  return route.kind === "idempotent" || route.isResumable;
}
