/** The agent's counters and latency metric. */

import type { Counter, LatencyHistogram, Registry } from "../metrics/mod.ts";

export interface AgentCounters {
  readonly outcomes: Counter;
  readonly refusals: Counter;
  readonly failures: Counter;
  readonly cancels: Counter;
  readonly crashNotices: Counter;
  readonly keyDecisions: Counter;
  readonly loadOrders: Counter;
  readonly phaseChanges: Counter;
  readonly handOffMs: LatencyHistogram;
}

export function createAgentCounters(registry: Registry): AgentCounters {
  return {
    outcomes: registry.counter(
      "agent_requests_total",
      "Requests by outcome told to the entry",
    ),
    refusals: registry.counter(
      "agent_refusals_total",
      "Requests that were not handed off, by code",
    ),
    failures: registry.counter(
      "agent_failures_total",
      "Failures after hand-off, by kind",
    ),
    cancels: registry.counter(
      "agent_cancels_total",
      "Requests cancelled at the engine, by whether it confirmed",
    ),
    crashNotices: registry.counter(
      "agent_crash_notices_total",
      "Crash records, by where they came from",
    ),
    keyDecisions: registry.counter(
      "agent_keys_total",
      "Decisions of the idempotency key table",
    ),
    loadOrders: registry.counter(
      "agent_load_orders_total",
      "Load orders by result",
    ),
    phaseChanges: registry.counter(
      "agent_phase_changes_total",
      "Changes of the endpoint's phase, by the new one",
    ),
    handOffMs: registry.latency(
      "agent_hand_off_ms",
      "Time from the arrival of a request to its hand-off",
    ),
  };
}
