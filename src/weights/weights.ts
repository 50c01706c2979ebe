/**
 * Weight transfer of one agent: which version it is getting, what it holds,
 * and what its peers hold.
 */

import type { Node } from "../node/mod.ts";
import type { Phase } from "../wire/mod.ts";

/** What the transfer of weights uses of the process around it. */
export type WeightsNode = Pick<
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
  /** Received over the last seconds; 0 while nothing arrives. */
  readonly bytesPerS: number;
  readonly isComplete: boolean;
}

/** What another agent last said of itself. */
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

export interface Weights {
  /** Starts or continues this transfer; a transfer of another version ends. */
  want(version: WantedVersion | undefined): void;
  progress(manifestDigest: string): TransferProgress;
  /** Runs once for each version that has become whole and verified. */
  onComplete(handler: (manifestDigest: string) => void): void;
  /** What this agent tells its peers about its endpoint. */
  setServing(servingDigest: string | undefined, phase: Phase): void;
  peers(): readonly WeightPeer[];
  readManifest(manifestDigest: string): Uint8Array | undefined;
  /** The verified chunks in order; undefined unless all are held. */
  readChunks(manifestDigest: string): readonly Uint8Array[] | undefined;
  /**
   * Takes over a manifest and chunks that this host holds already, before the
   * version is wanted. Chunks that do not match the manifest are left out;
   * returns the number kept, or undefined if the manifest is not valid.
   */
  adopt(
    version: WantedVersion,
    manifestBytes: Uint8Array,
    chunks: readonly Uint8Array[],
  ): number | undefined;
  close(): Promise<void>;
}
