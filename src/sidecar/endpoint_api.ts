/** Interfaces of the endpoint on this host and of the origin of weights. */

import type { Result } from "neverthrow";
import type { ServedModel } from "../directory/mod.ts";

export interface EndpointReport {
  readonly running: number;
  readonly waiting: number;
  /** Number of orders that the endpoint has accepted since it started. */
  readonly acceptedOrders: number;
  /** True while an order is in progress. */
  readonly isBusy: boolean;
  readonly models: readonly ServedModel[];
  readonly memoryUsedTokens: number;
  readonly memoryTotalTokens: number;
  readonly slowdown: number;
  /** True if the endpoint states that it takes no further requests. */
  readonly isLeaving: boolean;
  readonly startedAtMs?: number | undefined;
  /** As in the responses to requests; reports may lack it. */
  readonly requestLimitPerS?: number | undefined;
}

/** Only a request with a condition can be `not_sent`. */
export type EndpointFailure =
  | "timeout"
  | "connection"
  | "not_listening"
  | "refused"
  | "too_large"
  | "not_sent";

export interface OrderOptions {
  /**
   * The endpoint refuses the order as a conflict if it has accepted another
   * number of orders since it started.
   */
  readonly acceptedOrders: number;
  /** Called right before the order is sent; false keeps it from being sent. */
  readonly mayBeSent: () => boolean;
}

export interface EndpointApi {
  readReport(): Promise<Result<EndpointReport, EndpointFailure>>;
  /**
   * Orders a load of the weights that are staged when the order is accepted.
   */
  startVersion(
    served: ServedModel,
    options: OrderOptions,
  ): Promise<Result<"begun" | "in_effect" | "conflict", EndpointFailure>>;
  listStaged(
    model: string,
  ): Promise<Result<readonly number[], EndpointFailure>>;
  /** Undefined if nothing is staged at this index. */
  readStaged(
    model: string,
    index: number,
    limits: { readonly sizeBytes: number },
  ): Promise<Result<Uint8Array | undefined, EndpointFailure>>;
  writeStaged(
    model: string,
    index: number,
    bytes: Uint8Array,
  ): Promise<Result<void, EndpointFailure>>;
  close(): Promise<void>;
}

export type OriginFailure =
  | "timeout"
  | "connection"
  | "not_listening"
  | "refused"
  | "malformed"
  | "aborted"
  | "too_large";

export interface WeightOrigin {
  /** SHA-256 of each chunk, hexadecimal. */
  readDigests(
    version: ServedModel,
  ): Promise<Result<readonly string[], OriginFailure>>;
  readChunk(
    version: ServedModel,
    index: number,
    limits: { readonly sizeBytes: number; readonly signal: AbortSignal },
  ): Promise<Result<Uint8Array, OriginFailure>>;
  close(): Promise<void>;
}
