/** Types for a caller's request and an endpoint's response. */

import type { AccountRecord, CallRoute } from "../directory/mod.ts";
import type { HttpHeaders } from "../http/mod.ts";
import type { LoadStatement, Urgency } from "../scheduling/mod.ts";

/** Values read from the headers of a request. */
export interface CallHeaders {
  /** Identifies one attempt of a client; endpoints echo it. */
  readonly attemptId?: string | undefined;
  /** Time that the client is still willing to wait. */
  readonly remainingMs?: number | undefined;
  readonly apiKey?: string | undefined;
  readonly model?: string | undefined;
  readonly promptTokens?: number | undefined;
  readonly maxOutputTokens?: number | undefined;
  /** The client's estimate: right at the median, often far off. */
  readonly expectedOutputTokens?: number | undefined;
  /** Id of the event after which the client resumes a stream. */
  readonly lastEventId?: string | undefined;
  /** Ids of the prompt parts that the request shares with others. */
  readonly sharedPromptParts?: readonly string[] | undefined;
}

/** Values that the gateway sets in the headers of a forwarded request. */
export interface ForwardOptions {
  readonly remainingMs: number;
  /** Id of the target endpoint; any other endpoint refuses the request. */
  readonly endpointId: string;
  readonly account?: string | undefined;
  readonly weightVersion?: number | undefined;
  readonly lastEventId?: string | undefined;
  /** From 0 to 9; endpoints admit requests of lower values first. */
  readonly priority?: number | undefined;
}

export interface ResponseHeaders {
  readonly attemptId?: string | undefined;
  /** True if the endpoint states that it did not run the request. */
  readonly isMarkedNotRun: boolean;
  /** True if the endpoint states that it takes no further requests. */
  readonly isLeaving: boolean;
  /** Time for which the endpoint wants no requests, in a refusal. */
  readonly retryAfterMs?: number | undefined;
  /**
   * Requests per second that the endpoint takes from all entries together;
   * Infinity if it names no limit. Absent if its value cannot be read.
   */
  readonly requestLimitPerS?: number | undefined;
  /** Id of the endpoint that responds, if it names itself. */
  readonly endpointId?: string | undefined;
  /** Load of the endpoint when it sent the response. */
  readonly load?: LoadStatement;
  /** True if it states a load that is out of range. */
  readonly isLoadInvalid?: boolean;
  readonly weightVersion?: number;
}

/** Header names are defined by the platform; its adapter implements this. */
export interface HeaderCodec {
  readonly readCallHeaders: (headers: HttpHeaders) => CallHeaders;
  readonly writeForwardHeaders: (
    rawHeaders: readonly string[],
    options: ForwardOptions,
  ) => string[];
  readonly readResponseHeaders: (headers: HttpHeaders) => ResponseHeaders;
  /** Alternating names and values for the client. */
  readonly writeResponseHeaders: (headers: HttpHeaders) => string[];
}

/** An accepted request. It has an account unless its route is anonymous. */
export interface Call {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly rawHeaders: readonly string[];
  readonly headers: CallHeaders;
  readonly body: Buffer;
  readonly route: CallRoute;
  readonly service: string;
  readonly account: AccountRecord | undefined;
  readonly urgency: Urgency;
  readonly configVersion: number;
  readonly receivedAtMs: number;
  /** Monotonic time by which the caller must have the final response. */
  readonly deadlineMs: number;
}
