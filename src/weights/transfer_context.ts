/** Dependencies of a transfer. */

import type { Logger } from "../logging/mod.ts";
import type { ChangeSignal } from "./change_signal.ts";
import type { ChunkCache } from "./chunk_cache.ts";
import type { Manifest } from "./manifest.ts";
import type { Member } from "./members.ts";
import type { TransferTimeouts } from "./transfer_timeouts.ts";
import type { PeerHoldings } from "./peer_holdings.ts";
import type { Policy } from "./policy.ts";
import type { StoreClient } from "./store_client.ts";
import type { WeightCounters } from "./weight_counters.ts";

export interface TransferContext {
  readonly ownHost: string;
  readonly policy: Policy;
  readonly usesPeers: boolean;
  readonly storeTaskCount: number;
  readonly timeouts: TransferTimeouts;
  readonly cache: ChunkCache;
  readonly holdings: PeerHoldings;
  /** True while it is unknown which chunks the peers hold. */
  readonly isAwaitingReports: () => boolean;
  readonly store: StoreClient;
  readonly changes: ChangeSignal;
  readonly counters: WeightCounters;
  readonly logger: Logger;
  readonly waitForBandwidth: () => Promise<void>;
  readonly chargeStoreBytes: (bytes: number) => void;
  readonly listMembers: () => readonly Member[];
  readonly readLinkRates: () => {
    readonly storeBytesPerS: number;
    readonly regionBytesPerS: number;
  };
  /** Returns a manifest that was fetched before. */
  readonly findManifest: (digest: string) => Manifest | undefined;
  readonly onManifest: (manifest: Manifest) => void;
  readonly onChunk: () => void;
  readonly onComplete: () => void;
  readonly nowMs: () => number;
  readonly random: () => number;
}
