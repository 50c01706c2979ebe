/**
 * The published state, independent of the platform. The adapter of a platform
 * decodes its records into these types; only the adapter depends on the names
 * that the platform uses.
 */

import type { StorePosition } from "./store_position.ts";

export type CallKind = "idempotent" | "non_idempotent" | "stream";

export interface ServiceShare {
  readonly service: string;
  readonly weight: number;
}

export interface CallRoute {
  readonly name: string;
  readonly host: string;
  /** Starts and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: CallKind;
  /** Deadline for the final response to a call. */
  readonly timeoutMs: number;
  /** Latency objective: for a stream, the time to its first event. */
  readonly objectiveMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly services: readonly ServiceShare[];
  readonly maxAttempts: number;
  readonly isAnonymous: boolean;
  readonly isResumable: boolean;
  /** Empty if all regions are allowed. */
  readonly allowedRegions: readonly string[];
}

export interface EngineModel {
  readonly name: string;
  /** Time to load all layers of staged weights. */
  readonly warmUpS: number;
}

/** Batching parameters of a model engine, as published by the platform. */
export interface EngineProfile {
  readonly slots: number;
  readonly memoryTokens: number;
  readonly stepMs: number;
  readonly stepMsPerSequence: number;
  readonly stepMsPerThousandContextTokens: number;
  readonly readTokensPerS: number;
  readonly stepsPerPass: number;
  readonly usualPromptTokens: number;
  readonly usualAnswerTokens: number;
  readonly models: readonly EngineModel[];
  readonly chunkCount: number;
  readonly chunkBytes: number;
}

export interface CallService {
  readonly name: string;
  /** Path of the endpoints' health check. */
  readonly healthPath?: string | undefined;
  readonly maxConnections: number;
  /** Requests per second that a cold endpoint can handle; 0 if unlimited. */
  readonly coldRequestsPerS: number;
  readonly engine?: EngineProfile | undefined;
  /** "IP:port" of the weight origin, if the service is one. */
  readonly originAddress?: string | undefined;
  readonly originMbitPerS?: number | undefined;
}

export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

export interface AccountRecord {
  readonly name: string;
  readonly apiKeys: readonly string[];
  /** Takes precedence over the route's; 0 is the most urgent. */
  readonly priority?: number | undefined;
  readonly allowedRegions: readonly string[];
}

export interface RoutingConfig {
  readonly version: number;
  readonly routes: readonly CallRoute[];
  readonly services: readonly CallService[];
  readonly limits: CallerLimits;
  /** Undefined if calls need no API key. */
  readonly accounts?: readonly AccountRecord[] | undefined;
}

export interface ServedModel {
  readonly name: string;
  readonly version: number;
}

/** One listed endpoint. Its id usually identifies a single incarnation. */
export interface EndpointRecord {
  readonly id: string;
  readonly service: string;
  /** "IP:port"; may later be reassigned to an endpoint of another service. */
  readonly address: string;
  readonly dataCentre: string;
  readonly slots: number;
  readonly isDraining: boolean;
  /** Remaining time for which the endpoint is cold, as of its last record. */
  readonly coldMs: number;
  /** Wall-clock start; a later one with the same id is a new incarnation. */
  readonly startedAtMs?: number | undefined;
  readonly models: readonly ServedModel[];
}

/** One change of the published state, with its position in the store. */
export type DirectoryChange = StorePosition &
  (
    | { readonly type: "config"; readonly config: RoutingConfig }
    | {
        readonly type: "endpoint";
        readonly id: string;
        /** Undefined if the record was removed or is not a usable endpoint. */
        readonly endpoint: EndpointRecord | undefined;
      }
    | {
        readonly type: "evacuation";
        readonly dataCentre: string;
        readonly isOut: boolean;
      }
    | {
        readonly type: "weights";
        readonly model: string;
        readonly version: number | undefined;
      }
  );
