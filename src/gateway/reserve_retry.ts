/**
 * Reserves a retry for an attempt whose endpoint is silent. An endpoint can be
 * silent for a second and go on, so an attempt is ended for silence only if the
 * request is sent to another endpoint in the same step. That endpoint can still
 * reject it.
 */

import type { Choice } from "../scheduling/mod.ts";
import type { ActiveCall, CallState, ChosenEndpoint } from "./call_state.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { mayRetry } from "./handle_outcome.ts";

/** Returns false if the attempt has to go on. */
export function reserveRetry(
  context: GatewayContext,
  options: ActiveCall & {
    readonly choice: ChosenEndpoint;
    readonly choose: (state: CallState) => Choice;
  },
): boolean {
  const { state, choice, choose } = options;
  const nextState: CallState = {
    ...state,
    runs: state.runs + 1,
    triedEndpoints: new Set([...state.triedEndpoints, choice.view.endpoint.id]),
  };
  const next = choose(nextState);
  if (next.type === "none" || next.view.isInBackoff) return false;
  if (!mayRetry(context, { ...options, state: nextState })) return false;
  state.reservedRetry = next;
  return true;
}
