/** Metrics of the entry. */

import type { Counter, LatencyHistogram, Registry } from "../metrics/mod.ts";

export interface EntryMetrics {
  readonly requests: Counter;
  readonly refusals: Counter;
  readonly retries: Counter;
  readonly retriesDenied: Counter;
  readonly continuations: Counter;
  readonly streamsCut: Counter;
  readonly callersLeft: Counter;
  readonly crashNotices: Counter;
  readonly dispatches: Counter;
  readonly firstToken: LatencyHistogram;
  readonly betweenTokens: LatencyHistogram;
}

export function createEntryMetrics(registry: Registry): EntryMetrics {
  return {
    requests: registry.counter(
      "requests_total",
      "Requests of callers by outcome",
    ),
    refusals: registry.counter(
      "refusals_total",
      "Requests that got no answer, by reason",
    ),
    retries: registry.counter(
      "retries_total",
      "Further attempts at a request, by reason of the previous failure",
    ),
    retriesDenied: registry.counter(
      "retries_denied_total",
      "Further attempts that were not made, by cause",
    ),
    continuations: registry.counter(
      "continued_streams_total",
      "Streams continued on another endpoint after the first token",
    ),
    streamsCut: registry.counter(
      "cut_streams_total",
      "Streams that ended with an error after the first token, by reason",
    ),
    callersLeft: registry.counter(
      "callers_left_total",
      "Requests whose caller closed its connection before the end",
    ),
    crashNotices: registry.counter(
      "crash_notices_total",
      "New crash notices received from peers",
    ),
    dispatches: registry.counter(
      "dispatches_total",
      "Requests sent to agents, by service and data centre",
    ),
    firstToken: registry.latency(
      "first_token_ms",
      "Time from the end of the request to its first token",
    ),
    betweenTokens: registry.latency(
      "between_tokens_ms",
      "Time between two tokens of a stream",
    ),
  };
}
