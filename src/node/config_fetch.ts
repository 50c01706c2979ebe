/** Fetches a newer configuration from a peer that is known to have one. */

import type { Peer } from "../wire/mod.ts";

export interface ConfigFetchOptions {
  readonly knownVersion: () => number;
  readonly pull: (peer: Peer) => Promise<unknown>;
}

/** Requests that arrive together share one pull from each peer. */
export function createConfigFetch({ knownVersion, pull }: ConfigFetchOptions) {
  const pulls = new Map<Peer, Promise<unknown>>();

  function startPull(peer: Peer): Promise<unknown> {
    const started = pull(peer);
    pulls.set(peer, started);
    void started.finally(() => pulls.delete(peer));
    return started;
  }

  return async (peer: Peer, version: number): Promise<void> => {
    // A pull in progress may have started before the peer had the version.
    await pulls.get(peer);
    if (knownVersion() >= version) return;
    await (pulls.get(peer) ?? startPull(peer));
  };
}
