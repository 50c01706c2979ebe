/** Fetches a newer configuration from a peer known to have it. */

import type { Peer } from "../wire/mod.ts";

export interface ConfigFetcherOptions {
  readonly knownVersion: () => number;
  readonly pull: (peer: Peer) => Promise<unknown>;
}

/** Concurrent requests for the same peer share one pull. */
export function createConfigFetcher({
  knownVersion,
  pull,
}: ConfigFetcherOptions) {
  const pulls = new Map<Peer, Promise<unknown>>();

  function startPull(peer: Peer): Promise<unknown> {
    const started = pull(peer);
    pulls.set(peer, started);
    void started.finally(() => pulls.delete(peer));
    return started;
  }

  return async (peer: Peer, version: number): Promise<void> => {
    // The pull in progress may have started before the peer had the version.
    await pulls.get(peer);
    if (knownVersion() >= version) return;
    await (pulls.get(peer) ?? startPull(peer));
  };
}
