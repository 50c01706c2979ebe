/** Converts stated limits to the records that processes exchange. */

import { MAX_LIMITS_IN_NOTICE } from "../wire/mod.ts";
import type { RequestLimitsNotice, StatedLimitRecord } from "../wire/mod.ts";
import type { StatedLimit } from "./stated_limits.ts";

export function toLimitRecord(
  { endpoint, statement }: StatedLimit,
  nowMs: number,
): StatedLimitRecord {
  const { address, startedAtMs } = endpoint;
  const { ratePerS, sentAtMs, heardAtMs } = statement;
  return {
    address,
    ...(startedAtMs !== undefined && { startedAtMs }),
    ...(ratePerS !== Infinity && { ratePerS }),
    sentAgeMs: Math.max(0, nowMs - sentAtMs),
    heardAgeMs: Math.max(0, nowMs - heardAtMs),
  };
}

export function fromLimitRecord(
  record: StatedLimitRecord,
  nowMs: number,
): StatedLimit {
  const { address, startedAtMs, ratePerS = Infinity } = record;
  return {
    endpoint: { address, startedAtMs },
    statement: {
      ratePerS,
      sentAtMs: nowMs - record.sentAgeMs,
      heardAtMs: nowMs - record.heardAgeMs,
    },
  };
}

export function createLimitsNotice(
  limits: readonly StatedLimit[],
  nowMs: number,
): RequestLimitsNotice {
  const records = limits
    .slice(-MAX_LIMITS_IN_NOTICE)
    .map((limit) => toLimitRecord(limit, nowMs));
  return { topic: "request_limits", limits: records };
}
