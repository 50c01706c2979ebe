/**
 * Interface of the weight distribution of one agent: the version it transfers,
 * the chunks it holds and the state of its peers.
 */

import type { Node } from "../node/mod.ts";
import type { Phase } from "../wire/mod.ts";

/** The parts of the node that weight distribution uses. */
export type WeightDistributorNode = Pick<
  Node,
  | "identity"
  | "view"
  | "peers"
  | "findPeer"
  | "onPeer"
  | "onNotice"
  | "onStream"
  | "addPeerChooser"
>;

export interface WantedVersion {
  readonly manifestDigest: string;
  readonly sizeBytes: number;
}

export interface TransferProgress {
  readonly manifestDigest: string;
  readonly chunksHeld: number;
  /** 0 until the manifest is known. */
  readonly chunkCount: number;
  readonly bytesHeld: number;
  /** Receive rate over the last seconds; 0 while nothing arrives. */
  readonly bytesPerS: number;
  readonly isComplete: boolean;
}

/** State that another agent last reported. */
export interface WeightPeer {
  readonly host: string;
  readonly dataCentre: string;
  readonly service: string;
  readonly servingDigest?: string;
  readonly phase: Phase;
  readonly wantedDigest: string;
  readonly chunksHeld: number;
  readonly chunkCount: number;
}

export interface WeightDistributor {
  /** Starts or continues a transfer, and ends that of another version. */
  setWantedVersion(version: WantedVersion | undefined): void;
  progress(manifestDigest: string): TransferProgress;
  /** The handler is called once for each version that is complete. */
  onComplete(handler: (manifestDigest: string) => void): void;
  /** Sets the endpoint state that this agent reports to its peers. */
  setServingState(servingDigest: string | undefined, phase: Phase): void;
  peers(): readonly WeightPeer[];
  readManifest(manifestDigest: string): Uint8Array | undefined;
  /** Returns the verified chunks in order; undefined unless all are held. */
  readChunks(manifestDigest: string): readonly Uint8Array[] | undefined;
  /**
   * Imports a manifest and chunks that this host already holds, before the
   * version is wanted. Chunks that do not match the manifest are skipped.
   * Returns the number of imported chunks, or undefined if the manifest is
   * invalid.
   */
  importChunks(
    version: WantedVersion,
    manifestBytes: Uint8Array,
    chunks: readonly Uint8Array[],
  ): number | undefined;
  close(): Promise<void>;
}
