/**
 * What the platform publishes, in the project's own terms. The adapter of a
 * platform decodes into these types; nothing else in the product depends on a
 * platform's names.
 */

export type CallKind = "idempotent" | "non_idempotent" | "stream";

export interface ServiceShare {
  readonly service: string;
  readonly weight: number;
}

export interface CallRoute {
  readonly name: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  readonly kind: CallKind;
  /** A call is answered finally after this time at the latest. */
  readonly timeoutMs: number;
  /** Latency objective: for a stream, the time to its first event. */
  readonly objectiveMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly services: readonly ServiceShare[];
  readonly maxAttempts: number;
  readonly isAnonymous: boolean;
  readonly isResumable: boolean;
  /** Empty when every region is allowed. */
  readonly allowedRegions: readonly string[];
}

export interface EngineModel {
  readonly name: string;
  /** Time to load all layers of staged weights. */
  readonly warmUpS: number;
}

/** How a model engine batches, as the platform publishes it. */
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
  readonly maxConnections: number;
  /** Requests per second that a cold endpoint bears; 0 when unlimited. */
  readonly coldRequestsPerS: number;
  readonly engine?: EngineProfile | undefined;
  /** "IP:port" of the origin of weights, for the service that is one. */
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
  /** Undefined when calls need no key. */
  readonly accounts?: readonly AccountRecord[] | undefined;
}

export interface ServedModel {
  readonly name: string;
  readonly version: number;
}

/** One listed endpoint. Its id names one incarnation, mostly. */
export interface EndpointRecord {
  readonly id: string;
  readonly service: string;
  /** "IP:port"; may be assigned to another service's endpoint later. */
  readonly address: string;
  readonly dataCentre: string;
  readonly slots: number;
  readonly isDraining: boolean;
  /** How much longer the endpoint stays cold, as of its last entry. */
  readonly coldMs: number;
  /** Wall-clock start; a later one under the same id is a new incarnation. */
  readonly startedAtMs?: number | undefined;
  readonly models: readonly ServedModel[];
}

/** One change of what the platform publishes. */
export type DirectoryChange = { readonly revision: number } & (
  | { readonly type: "config"; readonly config: RoutingConfig }
  | {
      readonly type: "endpoint";
      readonly id: string;
      /** Undefined when the entry was removed or names no usable endpoint. */
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
