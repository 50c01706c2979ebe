/** What one call has been through so far. */

import type { CallService } from "../directory/mod.ts";
import type { AttemptOutcome } from "./attempt.ts";
import type { Call } from "./call.ts";
import type { CallerAnswer } from "./caller_answer.ts";
import type { Choice } from "./choose_endpoint.ts";

export type Sending = Extract<Choice, { type: "send" }>;
export type NoChoice = Extract<Choice, { type: "none" }>;

export interface CallState {
  /** Endpoints that may have run the request. */
  runs: number;
  unsent: number;
  notRun: number;
  readonly tried: Set<string>;
  lastEventId: string | undefined;
  weightVersion: number | undefined;
  /** From the sending of the last attempt to the head of its answer. */
  headMs: number | undefined;
  /** An endpoint's own failure, passed on if nothing better comes. */
  failure: Extract<AttemptOutcome, { type: "answered" }> | undefined;
}

/** A call on its way to an endpoint. */
export interface Step {
  readonly call: Call;
  readonly service: CallService;
  readonly state: CallState;
}

/** A call after an attempt, or one that none could be made for. */
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
