/** Decides whether a non-repeatable request may run at this agent. */

import type { PlainService } from "../document/mod.ts";
import {
  chooseRunner,
  normalizeKey,
  readKeyTimeMs,
} from "../idempotency/mod.ts";
import type {
  KeyDecision,
  KeyFloor,
  KeyTable,
  StoredResponse,
} from "../idempotency/mod.ts";
import type { RequestHead, Trailer } from "../wire/mod.ts";
import { createRefusal, createUnknownOutcome } from "./refusal.ts";

const RETRY_AFTER_MS = 1_000;

export interface TimedKey {
  readonly key: string;
  readonly keyTimeMs: number;
}

export type KeyCheck =
  | ({ readonly type: "new" } & TimedKey)
  | { readonly type: "refuse"; readonly trailer: Trailer }
  | { readonly type: "replay"; readonly response: StoredResponse };

export interface KeyCheckOptions {
  /** Undefined while no configuration is known. */
  readonly service: PlainService | undefined;
  readonly host: string;
  readonly table: KeyTable;
  readonly floor: KeyFloor;
  readonly wallMs: () => number;
  readonly configConfirmedAtMs: () => number;
  readonly isClockSkewed: () => boolean;
}

/**
 * Looks up the key before any other refusal, because `not_run` must not be
 * returned for a key whose request ran earlier.
 */
export function checkKey(
  head: RequestHead,
  options: KeyCheckOptions,
): KeyCheck {
  const { service, host, table, floor, wallMs } = options;
  if (head.idempotencyKey === undefined) {
    return refuse("key_required", "This route needs an Idempotency-Key");
  }
  const key = normalizeKey(head.idempotencyKey);
  if (key === undefined) {
    return refuse("key_not_time_ordered", "The key is not a UUIDv7");
  }
  const keyTimeMs = readKeyTimeMs(key);
  const decision = table.lookUp(key, keyTimeMs, head.fingerprint);
  if (decision !== undefined) return toKeyCheck(decision, { key, keyTimeMs });
  // The floor, which covers the keys of earlier processes, was set by this
  // clock.
  if (options.isClockSkewed()) {
    const message = "The runner's clock differs too much from its peers'";
    const trailer = createUnknownOutcome("clock_skewed", message);
    return {
      type: "refuse",
      trailer: { ...trailer, retryAfterMs: RETRY_AFTER_MS },
    };
  }
  if (floor.isTooNew(keyTimeMs, wallMs())) {
    return refuse("key_not_time_ordered", "The key's time is in the future");
  }
  if (service === undefined) return { type: "new", key, keyTimeMs };
  const leadEndsMs =
    options.configConfirmedAtMs() + service.runnerLeadS * 1_000;
  if (keyTimeMs > leadEndsMs) {
    return refuseForOtherRunner(
      "The configuration is too old to tell the key's runner",
    );
  }
  if (chooseRunner(key, service.runnerSets) !== host) {
    return refuseForOtherRunner("Another host runs this key");
  }
  return { type: "new", key, keyTimeMs };
}

/** Converts a decision of the key table. */
export function toKeyCheck(decision: KeyDecision, timed: TimedKey): KeyCheck {
  switch (decision.type) {
    case "run":
      return { type: "new", ...timed };
    case "answered":
      return { type: "replay", response: decision.response };
    case "in_use":
      return {
        type: "refuse",
        trailer: {
          ...createUnknownOutcome(
            "key_in_use",
            "A request with this key is running",
          ),
          status: 409,
          retryAfterMs: RETRY_AFTER_MS,
        },
      };
    case "unknown":
      return {
        type: "refuse",
        trailer: createUnknownOutcome(
          "key_outcome_unknown",
          "A request with this key may have run",
        ),
      };
    case "mismatch":
      return {
        type: "refuse",
        trailer: {
          ...createRefusal(
            "key_mismatch",
            "The key belongs to another request",
          ),
          status: 422,
        },
      };
    case "full":
      return {
        type: "refuse",
        trailer: createRefusal(
          "overloaded",
          "The key table is full",
          RETRY_AFTER_MS,
        ),
      };
  }
}

function refuse(code: string, message: string): KeyCheck {
  return { type: "refuse", trailer: createRefusal(code, message) };
}

/**
 * The key's runner may have run the request, so the outcome is not `not_run`.
 */
function refuseForOtherRunner(message: string): KeyCheck {
  const trailer = createUnknownOutcome("runner_unreachable", message);
  return {
    type: "refuse",
    trailer: { ...trailer, retryAfterMs: RETRY_AFTER_MS },
  };
}
