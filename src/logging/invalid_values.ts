/**
 * Counts values from outside that are out of range, and logs the first one of
 * each kind and then at most one a minute: a faulty endpoint may send one with
 * every response.
 */

import type { Registry } from "../metrics/mod.ts";
import type { Logger } from "./mod.ts";

const LOG_INTERVAL_MS = 60_000;

export interface InvalidValues {
  /** `kind` names the value; `details` say where it came from. */
  note(kind: string, details: Readonly<Record<string, unknown>>): void;
}

export function createInvalidValues(options: {
  readonly nowMs: () => number;
  readonly registry: Registry;
  readonly logger: Pick<Logger, "warn">;
}): InvalidValues {
  const { nowMs, registry, logger } = options;
  const loggedAtMs = new Map<string, number>();
  const counter = registry.counter(
    "invalid_values_total",
    "Values from outside that were ignored because they are out of range",
  );
  return {
    note(kind, details) {
      counter.increment({ kind });
      const now = nowMs();
      if (now - (loggedAtMs.get(kind) ?? -Infinity) < LOG_INTERVAL_MS) return;
      loggedAtMs.set(kind, now);
      logger.warn({ kind, ...details }, "ignored a value that is out of range");
    },
  };
}
