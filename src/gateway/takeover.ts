/**
 * Chooses another endpoint for a call whose endpoint is silent. The other one
 * can reject the call, and the silent one can still answer, so the silent
 * attempt goes on until the other one has events. If all others are full, they
 * are asked again later, for as long as the silence lasts.
 */

import type { Choice } from "../scheduling/mod.ts";
import type { ActiveCall, CallState, ChosenEndpoint } from "./call_state.ts";
import type { GatewayContext } from "./gateway_context.ts";
import { mayRetry } from "./handle_outcome.ts";

/** Endpoints that are asked in a round: where two are full, most are. */
const MAX_REJECTIONS_PER_ROUND = 2;
/**
 * A full endpoint has room again when one of its requests ends, which takes a
 * fraction of a second. The delay doubles with each round.
 */
const FIRST_ROUND_DELAY_MS = 400;
const MAX_ROUND_DELAY_MS = 1_000;

export interface Takeover {
  /**
   * Returns an endpoint to which the call is sent as well, and takes the retry
   * from the budget; undefined if the attempts in progress go on alone.
   */
  choose(): ChosenEndpoint | undefined;
  /** The endpoint has rejected the call, and another attempt is in progress. */
  onRejected(endpointId: string): void;
}

export function createTakeover(
  context: GatewayContext,
  options: ActiveCall & {
    readonly chooseEndpoint: (state: CallState) => Choice;
    /** Ids of the endpoints at which attempts of the call are in progress. */
    readonly listRunning: () => readonly string[];
  },
): Takeover {
  const { state, chooseEndpoint, listRunning } = options;
  const rejectedBy = new Set<string>();
  let rounds = 0;
  let nextRoundAtMs = -Infinity;

  function startRoundIfDue() {
    if (rejectedBy.size === 0 || context.nowMs() < nextRoundAtMs) return;
    rejectedBy.clear();
    rounds += 1;
  }

  return {
    choose() {
      startRoundIfDue();
      if (rejectedBy.size >= MAX_REJECTIONS_PER_ROUND) return undefined;
      const running = listRunning();
      const nextState: CallState = {
        ...state,
        runs: state.runs + running.length,
        triedEndpoints: new Set([
          ...state.triedEndpoints,
          ...running,
          ...rejectedBy,
        ]),
      };
      const next = chooseEndpoint(nextState);
      if (next.type === "none" || next.view.isInBackoff) return undefined;
      const isFirst = rounds === 0 && rejectedBy.size === 0;
      const cause = isFirst ? "other" : "overloaded";
      return mayRetry(context, { ...options, state: nextState }, cause)
        ? next
        : undefined;
    },
    onRejected(endpointId) {
      rejectedBy.add(endpointId);
      const delayMs = FIRST_ROUND_DELAY_MS * 2 ** rounds;
      nextRoundAtMs = context.nowMs() + Math.min(MAX_ROUND_DELAY_MS, delayMs);
    },
  };
}
