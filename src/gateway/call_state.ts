/** State of one call over its attempts. */

import type { CallService } from "../directory/mod.ts";
import type { Choice } from "../scheduling/mod.ts";
import type { AttemptOutcome } from "./attempt.ts";
import type { Call } from "./call.ts";
import type { CallerResponse } from "./caller_response.ts";
import { createSentEventIds } from "./sent_event_ids.ts";
import type { SentEventIds } from "./sent_event_ids.ts";

/** The endpoint asked for a pause before the attempt was sent. */
export const PAUSED_REASON = "endpoint_paused";

export type ChosenEndpoint = Extract<Choice, { type: "send" }>;
export type NoEndpoint = Extract<Choice, { type: "none" }>;

export interface CallState {
  /** Attempts in which an endpoint may have run the request. */
  runs: number;
  unsentAttempts: number;
  notRunAttempts: number;
  readonly triedEndpoints: Set<string>;
  readonly sentEventIds: SentEventIds;
  /**
   * Last event of a run without length that ended with a clean close: the stream
   * may be complete, or its endpoint may have crashed.
   */
  possibleEndId: string | undefined;
  weightVersion: number | undefined;
  /** True once the request has crashed an endpoint again after a quarantine. */
  isQuarantined: boolean;
  /** A server error of an endpoint, passed on if no later attempt succeeds. */
  failedResponse: Extract<AttemptOutcome, { type: "answered" }> | undefined;
}

/** A call for which an endpoint is being chosen. */
export interface PendingCall {
  readonly call: Call;
  readonly service: CallService;
  readonly state: CallState;
}

/** A call and the response that its caller is waiting for. */
export interface ActiveCall {
  readonly call: Call;
  readonly state: CallState;
  readonly response: CallerResponse;
}

export interface FinishedAttempt extends ActiveCall {
  readonly outcome: AttemptOutcome;
  readonly choice: ChosenEndpoint;
  /** From sending the attempt to its response head. */
  readonly headMs: number | undefined;
}

export function createCallState(call: Call): CallState {
  return {
    runs: 0,
    unsentAttempts: 0,
    notRunAttempts: 0,
    triedEndpoints: new Set(),
    sentEventIds: createSentEventIds(call.headers.lastEventId),
    possibleEndId: undefined,
    weightVersion: undefined,
    isQuarantined: false,
    failedResponse: undefined,
  };
}

/** True if the request may run more than once. */
export function isRetryable({ route }: Pick<Call, "route">): boolean {
  return route.kind === "idempotent" || route.isResumable;
}
