/**
 * A simulated entry: asks its policy for a decision, sends the request, and
 * sends it again, within the retry budget, when an endpoint has refused it.
 */

import { createRetryBudget } from "../../src/limits/mod.ts";
import type { Visit } from "./calls.ts";
import type { EndpointRequest } from "./endpoint_model.ts";
import type { EndpointOffer } from "./network.ts";
import type {
  EntryPolicy,
  PendingRequest,
  SendDecision,
} from "./entry_policy.ts";
import type { EventQueue } from "./event_queue.ts";

/** As in the gateway. */
const MAX_NOT_RUN_ATTEMPTS = 2;
const RETRY_RATIO = 0.2 * 0.75;
const MIN_RETRIES = 100 * 0.75;
/** Header value of a request without an urgency. */
const DEFAULT_PRIORITY = 5;
/** A held request is decided again after this time. */
const HOLD_CHECK_MS = 10;

export interface EntryOptions {
  readonly policy: EntryPolicy;
  readonly queue: EventQueue;
  readonly entryCount: number;
  readonly onDecision: (durationUs: number) => void;
  /** Counts the request in the entry's share of the cold limit. */
  readonly countSent: (endpoint: number) => void;
  /** Brings the request to the endpoint, and its events back. */
  readonly offer: EndpointOffer;
}

export function createEntry(options: EntryOptions) {
  const { policy, queue, offer } = options;
  const { nowMs } = queue;
  const getMinimum = () => MIN_RETRIES / options.entryCount;
  const budgetOptions = { retryRatio: RETRY_RATIO, getMinimum };
  const budgets = {
    model: createRetryBudget(nowMs, budgetOptions),
    plain: createRetryBudget(nowMs, budgetOptions),
  };

  function decide(request: PendingRequest) {
    const startedAtMs = performance.now();
    const decision = policy.decide(request);
    options.onDecision((performance.now() - startedAtMs) * 1_000);
    return decision;
  }

  function dispatch(visit: Visit, request: PendingRequest) {
    if (nowMs() >= visit.deadlineMs) return visit.onRefused(0);
    const decision = decide(request);
    switch (decision.type) {
      case "refuse":
        return visit.onRefused(decision.retryAfterMs);
      case "hold":
        if (nowMs() >= decision.untilMs) {
          return visit.onRefused(policy.drawRetryDelayMs());
        }
        return queue.schedule(
          Math.min(decision.untilMs, nowMs() + HOLD_CHECK_MS),
          () => dispatch(visit, request),
        );
      case "send":
        return send(visit, request, decision);
    }
  }

  function send(visit: Visit, request: PendingRequest, to: SendDecision) {
    const sent = policy.onSend(request, to);
    options.countSent(to.endpoint);
    let firstEventAtMs = 0;
    const { promptTokens, events, workMs } = visit.request;
    const figures: Omit<EndpointRequest, `on${string}`> = {
      promptTokens,
      eventCount: events,
      workMs,
      priority: to.priority ?? DEFAULT_PRIORITY,
      deadlineMs: visit.deadlineMs,
    };
    offer(to.endpoint, figures, {
      onHead(statement) {
        firstEventAtMs = nowMs();
        sent.onHead(statement);
      },
      onEnd(longestPauseMs) {
        sent.onEnd(true);
        visit.onServed(firstEventAtMs, longestPauseMs);
      },
      onCut() {
        sent.onEnd(false);
        visit.onFailed();
      },
      onNotRun(statement) {
        sent.onNotRun(statement);
        const triedEndpoints = new Set(request.triedEndpoints).add(to.endpoint);
        const mayRetry =
          triedEndpoints.size <= MAX_NOT_RUN_ATTEMPTS &&
          budgets[request.route.service].takeRetry();
        if (mayRetry) dispatch(visit, { ...request, triedEndpoints });
        else visit.onRefused(policy.drawRetryDelayMs());
      },
    });
  }

  return {
    handle(visit: Visit) {
      const { route, promptTokens } = visit.request;
      budgets[route.service].recordRequest();
      dispatch(visit, {
        route,
        promptTokens,
        arrivedAtMs: nowMs(),
        deadlineMs: visit.deadlineMs,
        triedEndpoints: new Set(),
      });
    },
  };
}
