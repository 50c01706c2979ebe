/**
 * The transfer of one version: fetches the manifest, then runs a task for each
 * peer and a few for the store until the version is complete or no longer
 * wanted.
 */

import { fetchManifest } from "./fetch_manifest.ts";
import { runPeerTask, runStoreTask } from "./fetch_tasks.ts";
import type { Manifest } from "./manifest.ts";
import type { PeerHolding } from "./peer_holdings.ts";
import type { TransferContext } from "./transfer_context.ts";
import { createTransferState } from "./transfer_state.ts";
import type { WantedVersion } from "./weight_distributor.ts";

export interface Transfer {
  readonly version: WantedVersion;
  manifest(): Manifest | undefined;
  /** One bit for each chunk held; empty until the manifest is known. */
  bitmap(): Uint8Array;
  /** Receive rate over the last seconds, from all sources. */
  bytesPerS(): number;
  addPeer(holding: PeerHolding): void;
  onMembersChanged(): void;
  onHoldingsChanged(): void;
  end(): void;
}

export function startTransfer(
  version: WantedVersion,
  context: TransferContext,
): Transfer {
  const { changes, holdings } = context;
  const state = createTransferState(version, context);

  function addPeer(holding: PeerHolding) {
    const progress = state.progress();
    if (!context.usesPeers || progress === undefined || state.isEnded()) return;
    void runPeerTask(state, progress, holding);
  }

  async function run() {
    const known = context.findManifest(state.manifestDigest);
    if (known !== undefined) state.setManifest(known);
    // No `await` if the manifest is known, so that no peer is added in between.
    if (known === undefined) await fetchManifest(state);
    const progress = state.progress();
    if (state.isEnded() || progress === undefined) return;
    if (progress.isComplete()) return context.onComplete();
    changes.notify();
    for (let task = 0; task < context.storeTaskCount; task += 1) {
      void runStoreTask(state, progress);
    }
    holdings.list().forEach(addPeer);
  }

  void run();
  return {
    version,
    manifest: () => state.progress()?.manifest,
    bitmap: state.bitmap,
    bytesPerS: state.bytesPerS,
    addPeer,
    onMembersChanged() {
      if (state.peers.onMembersChanged()) changes.notify();
    },
    onHoldingsChanged: state.peers.onHoldingsChanged,
    end() {
      state.end();
      changes.notify();
    },
  };
}
