/** Weight transfer for tests; the test decides which versions are complete. */

import type {
  WantedVersion,
  WeightPeer,
  WeightDistributor,
} from "../../weights/mod.ts";

export interface FakeWeights extends WeightDistributor {
  readonly wanted: readonly (WantedVersion | undefined)[];
  complete(manifestDigest: string): void;
  setPeers(peers: readonly WeightPeer[]): void;
}

export function createFakeWeights(notify: () => void): FakeWeights {
  const wanted: (WantedVersion | undefined)[] = [];
  const held = new Set<string>();
  const handlers: ((manifestDigest: string) => void)[] = [];
  let peers: readonly WeightPeer[] = [];
  return {
    wanted,
    setWantedVersion(version) {
      const last = wanted.at(-1)?.manifestDigest;
      if (last !== version?.manifestDigest) wanted.push(version);
      notify();
    },
    progress: (manifestDigest) => ({
      manifestDigest,
      chunksHeld: held.has(manifestDigest) ? 2 : 0,
      chunkCount: 2,
      bytesHeld: held.has(manifestDigest) ? 6 : 0,
      bytesPerS: 0,
      isComplete: held.has(manifestDigest),
    }),
    onComplete: (handler) => void handlers.push(handler),
    setServingState: () => undefined,
    peers: () => peers,
    importChunks: () => 0,
    readManifest: (manifestDigest) =>
      held.has(manifestDigest) ? Buffer.from("{}") : undefined,
    readChunks: (manifestDigest) =>
      held.has(manifestDigest)
        ? [Buffer.from("abc"), Buffer.from("def")]
        : undefined,
    close: () => Promise.resolve(),
    complete(manifestDigest) {
      held.add(manifestDigest);
      handlers.forEach((handler) => handler(manifestDigest));
    },
    setPeers(next) {
      peers = next;
    },
  };
}
