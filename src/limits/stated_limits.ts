/**
 * The request limits that endpoints in need name in their responses, as this
 * process believes them: from responses that it got itself and from other
 * processes. A limit holds for one incarnation of the endpoint.
 */

import type { Logger } from "../logging/mod.ts";
import type { Registry } from "../metrics/mod.ts";
import { mergeStatements } from "./limit_statement.ts";
import type { LimitStatement } from "./limit_statement.ts";
import { createRecentRecords } from "./recent_records.ts";

/** More than the endpoints of the largest planned fleet, and their successors. */
const MAX_RECORDS = 8_192;

/**
 * The start time tells an endpoint from an earlier one at its address. The id is
 * left out, because the agent beside the endpoint does not know it.
 */
export interface LimitedIncarnation {
  /** "IP:port". */
  readonly address: string;
  /** Unix milliseconds, if the endpoint publishes its start. */
  readonly startedAtMs?: number | undefined;
}

export interface StatedLimit {
  readonly endpoint: LimitedIncarnation;
  readonly statement: LimitStatement;
}

export interface StatedLimits {
  /** Returns true if another rate is believed now. */
  note(
    endpoint: LimitedIncarnation,
    statement: LimitStatement,
    source: string,
  ): boolean;
  /** Undefined if the endpoint has never named a limit. */
  read(endpoint: LimitedIncarnation): LimitStatement | undefined;
  /** Limits in force, and those that have ended. */
  list(): readonly StatedLimit[];
}

export interface StatedLimitsOptions {
  readonly nowMs: () => number;
  readonly registry: Registry;
  readonly logger: Logger;
}

export function createStatedLimits({
  nowMs,
  registry,
  logger,
}: StatedLimitsOptions): StatedLimits {
  const records = createRecentRecords<StatedLimit>(MAX_RECORDS);
  const changes = registry.counter(
    "request_limit_changes_total",
    "Request limits of endpoints that became known, changed or ended, by kind",
  );

  return {
    note(endpoint, statement, source) {
      const { address, startedAtMs } = endpoint;
      const key = createKey(endpoint);
      const former = records.read(key)?.statement;
      const { ratePerS } = statement;
      if (former === undefined && ratePerS === Infinity) return false;
      const merged = mergeStatements(former, statement);
      const next = { endpoint: { address, startedAtMs }, statement: merged };
      records.write(key, next);
      const formerPerS = former?.ratePerS ?? Infinity;
      if (merged.ratePerS === formerPerS) return false;
      const hasEnded = merged.ratePerS === Infinity;
      changes.increment({ kind: hasEnded ? "ended" : "named" });
      logger.info(
        {
          address,
          startedAtMs,
          ...(!hasEnded && { ratePerS }),
          ...(formerPerS !== Infinity && { formerPerS }),
          source,
          ageMs: Math.round(nowMs() - statement.heardAtMs),
        },
        hasEnded
          ? "request limit of an endpoint has ended"
          : "endpoint names a request limit",
      );
      return true;
    },
    read: (endpoint) => records.read(createKey(endpoint))?.statement,
    list: records.list,
  };
}

function createKey({ address, startedAtMs }: LimitedIncarnation): string {
  return `${address} ${startedAtMs ?? ""}`;
}
