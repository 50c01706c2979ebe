/**
 * Adapts the origin of weights to the store interface of the weight transfer.
 */

import type { Logger } from "../logging/mod.ts";
import type { FetchResult, StoreClient } from "../weights/mod.ts";
import type { ManifestSource } from "./manifest_source.ts";
import type { WeightOrigin } from "./endpoint_api.ts";

const RETRY_AFTER_MS = 200;

export interface OriginStoreOptions {
  readonly origin: WeightOrigin;
  readonly manifests: ManifestSource;
  /** Manifest digest of the version being fetched. */
  readonly findCurrentDigest: () => string | undefined;
  readonly logger: Logger;
}

export function createOriginStore(options: OriginStoreOptions): StoreClient {
  const { origin, manifests, findCurrentDigest, logger } = options;
  return {
    async fetch(kind, digest, limits): Promise<FetchResult> {
      const manifest = manifests.findByDigest(
        kind === "manifests" ? digest : (findCurrentDigest() ?? ""),
      );
      if (manifest === undefined) {
        return { type: "failed", reason: "manifest_unknown" };
      }
      if (kind === "manifests") return { type: "ok", bytes: manifest.bytes };
      const index = manifest.chunkDigests.indexOf(digest);
      const startedAtMs = performance.now();
      const result = await origin.readChunk(manifest.version, index, limits);
      logger.info(
        {
          model: manifest.version.name,
          version: manifest.version.version,
          index,
          outcome: result.isOk() ? "received" : result.error,
          elapsedMs: Math.round(performance.now() - startedAtMs),
        },
        "requested a chunk from the origin",
      );
      if (result.isErr()) {
        return result.error === "refused"
          ? { type: "refused", code: "origin", retryAfterMs: RETRY_AFTER_MS }
          : { type: "failed", reason: result.error };
      }
      limits.onBytes(result.value.length);
      if (result.value.length !== limits.sizeBytes) {
        return { type: "corrupt", reason: "wrong_size" };
      }
      return { type: "ok", bytes: result.value };
    },
    close: () => origin.close(),
  };
}
