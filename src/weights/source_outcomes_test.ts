import { expect, test } from "@jest/globals";
import { createRegistry } from "../metrics/mod.ts";
import type { FetchResult } from "./fetch_result.ts";
import { DEFAULT_TIMEOUTS } from "./transfer_timeouts.ts";
import { createSourceOutcomes } from "./source_outcomes.ts";
import type { TransferContext } from "./transfer_context.ts";
import { createWeightCounters } from "./weight_counters.ts";

const HOST = "assistant-1";

function createOutcomes() {
  const context = {
    counters: createWeightCounters(createRegistry()),
    changes: { notify: () => undefined },
    timeouts: DEFAULT_TIMEOUTS,
    nowMs: () => 0,
    random: () => 1,
  } as unknown as TransferContext;
  return createSourceOutcomes({
    context,
    manifestDigest: "sha256:m",
    isEnded: () => false,
    onChange: () => undefined,
  });
}

interface Case {
  readonly name: string;
  readonly result: FetchResult;
  readonly leastMs: number;
  readonly mostMs: number;
}

const cases: readonly Case[] = [
  {
    // Guards against a stalled link that delays one chunk after another by
    // 2 s until its connection is closed as idle.
    name: "a stall",
    result: { type: "failed", reason: "stalled" },
    leastMs: 4_000,
    mostMs: 6_000,
  },
  {
    // Guards against a peer that stays unused for seconds after a reconnection.
    name: "a lost connection",
    result: { type: "failed", reason: "connection_lost" },
    leastMs: 1,
    mostMs: 250,
  },
  {
    // Guards against a busy peer that is asked too early or treated as faulty.
    name: "a refusal",
    result: { type: "refused", code: "busy", retryAfterMs: 20 },
    leastMs: 20,
    mostMs: 30,
  },
];
test.each(cases)(
  "asks a peer again within the bounds after $name",
  (tested) => {
    const { result, leastMs, mostMs } = tested;
    const outcomes = createOutcomes();
    expect(outcomes.recordResult(HOST, result)).toBeUndefined();
    expect(outcomes.readyAtMs(HOST)).toBeGreaterThanOrEqual(leastMs);
    expect(outcomes.readyAtMs(HOST)).toBeLessThanOrEqual(mostMs);
    expect(outcomes.isDistrusted(HOST)).toBe(result.type === "failed");
    expect(outcomes.isExcluded(HOST)).toBe(false);
  },
);
