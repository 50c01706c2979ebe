/**
 * At the start a process uses the highest version that the platform and up to
 * three peers have. The platform alone may be stale, so the first configuration
 * is put in force only once these have been asked or a timeout has passed.
 */

import type { Comparison, SnapshotStore } from "../snapshots/mod.ts";
import type { Peer } from "../wire/mod.ts";

const PEERS_TO_COMPARE = 3;
/** Longest time for which a first configuration waits for the comparisons. */
const COMPARISON_TIMEOUT_MS = 2_000;

export interface StartupVersionCheck {
  onPeer(peer: Peer): void;
  /** To be called when a value that `options` provides may have changed. */
  update(): void;
  close(): void;
}

export interface StartupVersionCheckOptions {
  readonly store: SnapshotStore;
  readonly isFirstPlatformReadDone: () => boolean;
  /** Number of other hosts to compare versions with. */
  readonly countOtherHosts: () => number;
  readonly compare: (peer: Peer) => Promise<Comparison>;
}

export function createStartupVersionCheck(
  options: StartupVersionCheckOptions,
): StartupVersionCheck {
  const { store, isFirstPlatformReadDone, countOtherHosts, compare } = options;
  const comparedHosts = new Set<string>();
  let timeoutTimer: NodeJS.Timeout | undefined;
  /** Compares with one peer at a time, so the value is transferred only once. */
  let comparisons: Promise<void> = Promise.resolve();

  function update() {
    if (store.isActive() || store.held() === undefined) return;
    timeoutTimer ??= setTimeout(() => store.activate(), COMPARISON_TIMEOUT_MS);
    const needed = Math.min(PEERS_TO_COMPARE, countOtherHosts());
    if (!isFirstPlatformReadDone() || comparedHosts.size < needed) return;
    clearTimeout(timeoutTimer);
    store.activate();
  }

  async function compareWith(peer: Peer) {
    if (store.isActive() || comparedHosts.size >= PEERS_TO_COMPARE) return;
    const result = await compare(peer);
    if (result === "compared") comparedHosts.add(peer.hello.host);
    update();
  }

  store.onAccepted(update);

  return {
    onPeer(peer) {
      if (store.isActive()) return;
      comparisons = comparisons.then(() => compareWith(peer));
    },
    update,
    close: () => clearTimeout(timeoutTimer),
  };
}
