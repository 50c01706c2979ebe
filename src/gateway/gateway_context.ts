/** Dependencies and state of an entry that all calls share. */

import type { AgeClock, Directory } from "../directory/mod.ts";
import type { InvalidValues, Logger } from "../logging/mod.ts";
import type { LimitStatement, RetryBudget } from "../limits/mod.ts";
import type { Registry } from "../metrics/mod.ts";
import type { PromptPartQuarantine, Quarantine } from "../quarantine/mod.ts";
import type {
  Candidates,
  EndpointHealth,
  EndpointLoads,
  QueueMix,
  RefusalTracker,
} from "../scheduling/mod.ts";
import type { TrafficCounters } from "../traffic/mod.ts";
import type { CrashNotice } from "../wire/mod.ts";
import type { Attempt } from "./attempt.ts";
import type { HeaderCodec } from "./call.ts";
import type { BufferBudget } from "./buffer_budget.ts";
import type { EndpointCheck } from "./endpoint_check.ts";
import type {
  EndpointAvailability,
  Incarnation,
} from "./endpoint_availability.ts";
import type { EndpointConnections } from "./endpoint_connections.ts";
import type { RateLimits } from "./rate_limits.ts";
import type { RequestPermits } from "./request_permits.ts";
import type { VersionDeadlines } from "./version_deadlines.ts";

/** Bounds from the platform's settings. */
export interface GatewayBounds {
  /** A key must not be accepted later than this after its revocation. */
  readonly revokeMs: number;
  readonly isRevocationStrict: boolean;
  readonly budgetRatio: number;
  readonly budgetWindowS: number;
  readonly budgetExtra: number;
  readonly coldOverage: number;
  readonly coldSlack: number;
  readonly versionMs: number;
  readonly graceS: number;
}

export interface GatewayContext {
  readonly directory: Directory;
  readonly clock: AgeClock;
  readonly loads: EndpointLoads;
  readonly health: EndpointHealth;
  /** What endpoints say about taking further requests. */
  readonly availability: EndpointAvailability;
  readonly requestPermits: RequestPermits;
  /** Passes on what a response states about its endpoint's request limit. */
  readonly noteRequestLimit: (
    endpoint: Incarnation,
    statement: LimitStatement,
  ) => void;
  readonly rateLimits: RateLimits;
  /** Endpoints to weigh for a call. */
  readonly candidates: Candidates;
  readonly connections: EndpointConnections;
  readonly endpointCheck: EndpointCheck;
  /** Bodies of requests. */
  readonly requestBuffers: BufferBudget;
  /** Bodies of responses, and what callers have not read of them. */
  readonly responseBuffers: BufferBudget;
  readonly codec: HeaderCodec;
  readonly bounds: GatewayBounds;
  readonly dataCentre: string;
  /** Region of each data centre. */
  readonly regions: Readonly<Record<string, string>>;
  /** Requests that may have crashed the endpoints that ran them. */
  readonly quarantine: Quarantine;
  readonly sendCrashNotice: (notice: CrashNotice) => void;
  /** Prompt parts that crash the endpoints which answer requests with them. */
  readonly promptPartQuarantine: PromptPartQuarantine;
  /** How the requests that wait at a service's endpoints divide by priority. */
  readonly getQueueMix: (service: string) => QueueMix;
  /** Refusals of a service. */
  readonly getRefusalTracker: (service: string) => RefusalTracker;
  readonly getRetryBudget: (service: string) => RetryBudget;
  readonly countEntries: () => number;
  /** Attempts in flight by endpoint address. */
  readonly attemptsByAddress: Map<string, Set<Attempt>>;
  readonly versionDeadlines: VersionDeadlines;
  readonly traffic: TrafficCounters;
  /** Counts what endpoints and callers state out of range. */
  readonly invalidValues: InvalidValues;
  readonly registry: Registry;
  readonly logger: Logger;
  readonly nowMs: () => number;
  readonly random: () => number;
}
