/**
 * Refusals that depend on the state of this agent and its view of the fleet.
 */

import type { RequestHead, Trailer } from "../wire/mod.ts";
import { createRefusal, createUnknownOutcome } from "./refusal.ts";
import type { RequestContext } from "./request_context.ts";

const RETRY_AFTER_PAUSE_MS = 500;
const RETRY_AFTER_MS = 1_000;

/** Called on arrival and again after each wait. */
export function checkRequest(
  head: RequestHead,
  context: RequestContext,
): Trailer | undefined {
  const { control, quarantine } = context;
  if (detectPause(context)) return refuseAfterPause(head);
  const refusal = control.findRefusal();
  if (refusal !== undefined) return refusal;
  if (head.service !== context.service) {
    return createRefusal(
      "unknown_service",
      `This endpoint serves ${context.service}`,
    );
  }
  const quarantinedMs = quarantine.remainingMs(head.fingerprint);
  if (quarantinedMs > 0) {
    return createRefusal(
      "request_quarantined",
      "This request crashed two endpoints",
      quarantinedMs,
    );
  }
  const digest = control.digest();
  if (head.versionDigest === undefined || head.versionDigest === digest) {
    return undefined;
  }
  return createRefusal(
    "no_endpoint",
    "The endpoint serves another version",
    RETRY_AFTER_MS,
  );
}

/**
 * True after a pause, until the node has compared its versions with a peer or
 * the platform, or a timeout has passed.
 * Evaluates both detectors, because detecting a pause raises the key floor.
 */
export function detectPause(context: RequestContext): boolean {
  const { node, pauseCheck, keyFloor, clock } = context;
  const wasPaused = pauseCheck.wasPaused();
  const isNodeRecovering = node.view.isRecoveringFromPause();
  if (isNodeRecovering) keyFloor.raiseToNow(clock.wallMs());
  return wasPaused || isNodeRecovering;
}

/** A replacement may have run a non-repeatable request during the pause. */
function refuseAfterPause({ repeatable }: RequestHead): Trailer {
  const message = "The agent was paused and compares its configuration";
  if (repeatable) return createRefusal("waking", message, RETRY_AFTER_PAUSE_MS);
  const trailer = createUnknownOutcome("key_outcome_unknown", message);
  return { ...trailer, retryAfterMs: RETRY_AFTER_PAUSE_MS };
}
