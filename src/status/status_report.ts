/**
 * The response of an entry or an agent to `GET /status` over HTTP, as JSON with
 * these keys. A field whose value is unknown is omitted.
 */

import type { Finding } from "../document/mod.ts";
import type { Phase } from "../wire/mod.ts";

/** Transfer of one version's weights to this agent. */
export interface TransferStatus {
  readonly manifestDigest: string;
  readonly bytesHeld: number;
  readonly sizeBytes: number;
  readonly chunksHeld: number;
  /** 0 until the manifest is known. */
  readonly chunkCount: number;
  /** Average over the last few seconds; 0 while nothing is received. */
  readonly bytesPerS: number;
}

export interface ConfigStatus {
  /** Number of the version in force, as assigned by the platform. */
  readonly version: number;
  /** Time since the version was last confirmed to be current. */
  readonly confirmedAgeMs: number;
  /** Names of the data centres that this version takes out. */
  readonly dataCentresOut?: readonly string[];
}

/** A document that was published but is not in force because it is invalid. */
export interface RejectedDocument {
  readonly version: number;
  readonly findings: readonly Finding[];
}

export interface StatusReport {
  readonly host: string;
  readonly incarnation: string;
  readonly role: "entry" | "agent";
  readonly dataCentre: string;
  /** Service of the agent's endpoint. */
  readonly service?: string;
  /** Absent until a first configuration has been accepted. */
  readonly config?: ConfigStatus;
  /** Phase of the agent's endpoint. */
  readonly phase?: Phase;
  /** Digest of the manifest that the endpoint serves. */
  readonly servingDigest?: string;
  readonly transfers: readonly TransferStatus[];
  /**
   * Step of an agent's roll-out: idle, transferring, waiting, draining or
   * loading; later versions may report others.
   */
  readonly rollout?: string;
  /** Requests in progress through this process. */
  readonly inFlight: number;
  readonly rejected?: RejectedDocument;
}
