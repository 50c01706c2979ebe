/** Refusals that depend on the state of the fleet and of this agent. */

import type { RequestHead, Trailer } from "../wire/mod.ts";
import { refuseAs, unknownAs } from "./refusal.ts";
import type { RequestContext } from "./request_context.ts";

const WAKE_RETRY_MS = 500;
const RETRY_MS = 1_000;

/** Runs on arrival and again after each wait. */
export function checkRequest(
  head: RequestHead,
  context: RequestContext,
): Trailer | undefined {
  const { control, quarantine } = context;
  if (isWaking(context)) return refuseWaking(head);
  const closed = control.closure();
  if (closed !== undefined) return closed;
  if (head.service !== context.service) {
    return refuseAs(
      "unknown_service",
      `This endpoint serves ${context.service}`,
    );
  }
  const quarantinedMs = quarantine.remainingMs(head.fingerprint);
  if (quarantinedMs > 0) {
    return refuseAs(
      "request_quarantined",
      "This request crashed two endpoints",
      quarantinedMs,
    );
  }
  const digest = control.digest();
  if (head.versionDigest === undefined || head.versionDigest === digest) {
    return undefined;
  }
  return refuseAs(
    "no_endpoint",
    "The endpoint serves another version",
    RETRY_MS,
  );
}

/** Evaluates both, because noting a pause raises the key floor. */
export function isWaking(context: RequestContext): boolean {
  const { node, pauseGuard, keyFloor, clock } = context;
  const wasPaused = pauseGuard.wasPaused();
  const isNodeWaking = node.view.isWaking();
  if (isNodeWaking) keyFloor.restart(clock.wallMs());
  return wasPaused || isNodeWaking;
}

/** During the pause a replacement may have run a call that must not repeat. */
function refuseWaking({ repeatable }: RequestHead): Trailer {
  const message = "The agent was paused and compares its configuration";
  if (repeatable) return refuseAs("waking", message, WAKE_RETRY_MS);
  const trailer = unknownAs("key_outcome_unknown", message);
  return { ...trailer, retryAfterMs: WAKE_RETRY_MS };
}
