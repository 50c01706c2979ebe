/**
 * Obtains the manifest of a version. The origin may send corrupt data, and a
 * wrong manifest would reject valid chunks or accept corrupt ones, so a
 * manifest is used only after two matching responses. A peer that already
 * fetches the same manifest counts as one of them: when several versions are
 * published shortly after each other, each request to the origin queues behind
 * the chunks it sends, and an agent that starts late fetches chunks that have
 * already been reassigned to others.
 */

import type { ServedModel } from "../directory/mod.ts";
import type { Logger } from "../logging/mod.ts";
import { computeDigest, encodeManifest } from "../weights/mod.ts";
import type { WantedVersion } from "../weights/mod.ts";
import type { WeightOrigin } from "./endpoint_api.ts";

const REQUIRED_RESPONSES = 2;

export interface ConfirmedManifest {
  readonly version: ServedModel;
  readonly wanted: WantedVersion;
  readonly bytes: Uint8Array;
  /** "sha256:" and hexadecimal digits, in the order of the chunks. */
  readonly chunkDigests: readonly string[];
}

export interface ManifestSource {
  find(version: ServedModel): ConfirmedManifest | undefined;
  findByDigest(manifestDigest: string): ConfirmedManifest | undefined;
  /** Sends one request to the origin; true if it responded. */
  requestFromOrigin(version: ServedModel, chunkBytes: number): Promise<boolean>;
}

interface Candidate {
  readonly manifest: ConfirmedManifest;
  responses: number;
}

export interface ManifestSourceOptions {
  readonly origin: WeightOrigin;
  /** True if a peer fetches or has the version with this manifest digest. */
  readonly isKnownToPeer: (manifestDigest: string) => boolean;
  readonly logger: Logger;
}

export function createManifestSource(
  options: ManifestSourceOptions,
): ManifestSource {
  const { origin, isKnownToPeer, logger } = options;
  const confirmedManifests = new Map<string, ConfirmedManifest>();
  const candidates = new Map<string, Candidate[]>();

  function confirm(key: string, manifest: ConfirmedManifest, by: string) {
    confirmedManifests.set(key, manifest);
    const { manifestDigest } = manifest.wanted;
    logger.info(
      { ...manifest.version, manifestDigest, by },
      "manifest confirmed",
    );
  }

  function find(version: ServedModel): ConfirmedManifest | undefined {
    const key = createKey(version);
    const confirmed = confirmedManifests.get(key);
    if (confirmed !== undefined) return confirmed;
    const candidate = candidates
      .get(key)
      ?.find(({ manifest }) => isKnownToPeer(manifest.wanted.manifestDigest));
    if (candidate !== undefined) confirm(key, candidate.manifest, "peer");
    return candidate?.manifest;
  }

  function recordResponse(manifest: ConfirmedManifest) {
    const key = createKey(manifest.version);
    const others = candidates.get(key) ?? [];
    candidates.set(key, others);
    const { manifestDigest } = manifest.wanted;
    const found = others.find(
      (other) => other.manifest.wanted.manifestDigest === manifestDigest,
    );
    if (found === undefined) return others.push({ manifest, responses: 1 });
    found.responses += 1;
    if (found.responses >= REQUIRED_RESPONSES) confirm(key, manifest, "origin");
  }

  return {
    find,
    findByDigest: (digest) =>
      [...confirmedManifests.values()].find(
        ({ wanted }) => wanted.manifestDigest === digest,
      ),
    async requestFromOrigin(version, chunkBytes) {
      const result = await origin.readDigests(version);
      if (result.isErr()) {
        logger.warn(
          {
            model: version.name,
            version: version.version,
            failure: result.error,
          },
          "the origin returned no manifest",
        );
        return false;
      }
      recordResponse(createManifest(version, result.value, chunkBytes));
      return true;
    },
  };
}

function createKey({ name, version }: ServedModel): string {
  return `${name} ${version}`;
}

function createManifest(
  version: ServedModel,
  digests: readonly string[],
  chunkBytes: number,
): ConfirmedManifest {
  const chunkDigests = digests.map((hex) => `sha256:${hex.toLowerCase()}`);
  const bytes = encodeManifest({
    model: version.name,
    version: String(version.version),
    chunks: chunkDigests.map((digest) => ({ digest, sizeBytes: chunkBytes })),
  });
  return {
    version,
    bytes,
    chunkDigests,
    wanted: {
      manifestDigest: computeDigest(bytes),
      sizeBytes: chunkDigests.length * chunkBytes,
    },
  };
}
