/** What an entry asks of the policy that is measured. */

import type { ListedEndpoint } from "../../src/directory/mod.ts";
import type { Random } from "../random.ts";
import type { Deployment, RouteFigures } from "./deployments.ts";

/** Load as an endpoint states it in a response head. */
export interface LoadStatement {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Undefined if the deployment states three figures. */
  readonly slowdown?: number | undefined;
}

/** The report of an endpoint's agent. */
export interface LoadReport {
  readonly endpoint: number;
  readonly isOpen: boolean;
  readonly running: number;
  readonly waiting: number;
  readonly slowdown: number;
}

export interface KnownEndpoint {
  readonly index: number;
  readonly service: RouteFigures["service"];
  readonly dataCentre: number;
  readonly slots: number;
  /** As the platform lists it; the id contains the index. */
  readonly listed: ListedEndpoint;
}

/** A request as an entry sees it. */
export interface PendingRequest {
  readonly route: RouteFigures;
  readonly promptTokens: number;
  readonly arrivedAtMs: number;
  readonly deadlineMs: number;
  /** Endpoints that have refused it. */
  readonly triedEndpoints: ReadonlySet<number>;
}

export interface SendDecision {
  readonly type: "send";
  readonly endpoint: number;
  /** The request header; absent without an urgency. */
  readonly priority?: number | undefined;
}

export type Decision =
  | SendDecision
  /** The entry holds the request and asks again, until this time. */
  | { readonly type: "hold"; readonly untilMs: number }
  | { readonly type: "refuse"; readonly retryAfterMs: number };

export interface SentRequest {
  onHead(statement: LoadStatement): void;
  /** The response is complete, or the request was cut at its deadline. */
  onEnd(isServed: boolean): void;
  onNotRun(statement: LoadStatement): void;
}

export interface EntryPolicy {
  onReport(report: LoadReport): void;
  decide(request: PendingRequest): Decision;
  onSend(request: PendingRequest, to: SendDecision): SentRequest;
  /** For a request that endpoints have refused and that is not sent again. */
  drawRetryDelayMs(): number;
}

export interface EntryPolicyOptions {
  readonly deployment: Deployment;
  readonly dataCentre: number;
  readonly endpoints: readonly KnownEndpoint[];
  readonly nowMs: () => number;
  /** In [0, 1). */
  readonly random: Random;
  /** False if the entry's share of the cold limit is used up. */
  readonly hasColdCapacity: (endpoint: number) => boolean;
  /** True if the entry may ever send requests there. */
  readonly isReachable: (endpoint: number) => boolean;
}

export type CreateEntryPolicy = (options: EntryPolicyOptions) => EntryPolicy;

/** 0 in the same data centre, 1 in the same region, 2 elsewhere. */
export function computeDistance(
  { regions }: Pick<Deployment, "regions">,
  a: number,
  b: number,
): 0 | 1 | 2 {
  if (a === b) return 0;
  return a % regions === b % regions ? 1 : 2;
}
