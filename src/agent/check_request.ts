/** Refusals that depend on the state of the fleet and of this agent. */

import type { RequestHead, Trailer } from "../wire/mod.ts";
import { refuseAs } from "./refusal.ts";
import type { RequestContext } from "./request_context.ts";

const WAKE_RETRY_MS = 500;
const RETRY_MS = 1_000;

/** Runs on arrival and again after each wait. */
export function checkRequest(
  head: RequestHead,
  context: RequestContext,
): Trailer | undefined {
  const { control, quarantine } = context;
  if (isWaking(context)) {
    return refuseAs(
      "waking",
      "The agent was paused and compares its configuration",
      WAKE_RETRY_MS,
    );
  }
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

export function isWaking({ node, pauseGuard }: RequestContext): boolean {
  return node.view.isWaking() || pauseGuard.wasPaused();
}
