/**
 * At start a process takes the highest version among the platform and up to
 * three peers. The platform alone may be stale, so the first configuration is
 * held back until the others have been asked or a short time has passed.
 */

import type { Comparison, SnapshotStore } from "../snapshots/mod.ts";
import type { Peer } from "../wire/mod.ts";

const PEERS_TO_COMPARE = 3;
/** Longest time that a first configuration waits for slower answers. */
const COMPARE_LIMIT_MS = 2_000;

export interface StartRule {
  onPeer(peer: Peer): void;
  /** To be called when one of the options' answers may have changed. */
  update(): void;
  close(): void;
}

export interface StartRuleOptions {
  readonly store: SnapshotStore;
  readonly isPlatformSettled: () => boolean;
  /** Number of other hosts that could be asked. */
  readonly countOthers: () => number;
  readonly compare: (peer: Peer) => Promise<Comparison>;
}

export function createStartRule(options: StartRuleOptions): StartRule {
  const { store, isPlatformSettled, countOthers, compare } = options;
  const compared = new Set<string>();
  let limitTimer: NodeJS.Timeout | undefined;
  /** One peer at a time, so that the value is transferred only once. */
  let comparisons: Promise<void> = Promise.resolve();

  function update() {
    if (store.isReleased() || store.held() === undefined) return;
    limitTimer ??= setTimeout(() => store.release(), COMPARE_LIMIT_MS);
    const needed = Math.min(PEERS_TO_COMPARE, countOthers());
    if (!isPlatformSettled() || compared.size < needed) return;
    clearTimeout(limitTimer);
    store.release();
  }

  async function compareWith(peer: Peer) {
    if (store.isReleased() || compared.size >= PEERS_TO_COMPARE) return;
    const result = await compare(peer);
    if (result === "compared") compared.add(peer.hello.host);
    update();
  }

  store.onAccepted(update);

  return {
    onPeer(peer) {
      if (store.isReleased()) return;
      comparisons = comparisons.then(() => compareWith(peer));
    },
    update,
    close: () => clearTimeout(limitTimer),
  };
}
