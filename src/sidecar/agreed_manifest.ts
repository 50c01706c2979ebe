/**
 * The manifest of a version. The origin may send wrong bytes, and a wrong
 * manifest would make every chunk look wrong or pass a wrong one, so two
 * answers have to agree before one is believed.
 */

import type { ServedModel } from "../directory/mod.ts";
import type { Logger } from "../logging/mod.ts";
import { computeDigest, encodeManifest } from "../weights/mod.ts";
import type { WantedVersion } from "../weights/mod.ts";
import type { WeightOrigin } from "./endpoint_control.ts";

const NEEDED_AGREEMENT = 2;

export interface AgreedManifest {
  readonly version: ServedModel;
  readonly wanted: WantedVersion;
  readonly bytes: Uint8Array;
  /** "sha256:" and hexadecimal digits, in the order of the chunks. */
  readonly chunkDigests: readonly string[];
}

export interface ManifestSource {
  find(version: ServedModel): AgreedManifest | undefined;
  findByDigest(manifestDigest: string): AgreedManifest | undefined;
  /** One more question to the origin; true if it answered. */
  ask(version: ServedModel, chunkBytes: number): Promise<boolean>;
}

export function createManifestSource(
  origin: WeightOrigin,
  logger: Logger,
): ManifestSource {
  const agreed = new Map<string, AgreedManifest>();
  const votes = new Map<string, number>();

  return {
    find: (version) => agreed.get(keyOf(version)),
    findByDigest: (digest) =>
      [...agreed.values()].find(
        ({ wanted }) => wanted.manifestDigest === digest,
      ),
    async ask(version, chunkBytes) {
      const result = await origin.readDigests(version);
      if (result.isErr()) {
        logger.warn(
          {
            model: version.name,
            version: version.version,
            failure: result.error,
          },
          "the origin gave no manifest",
        );
        return false;
      }
      const vote = `${keyOf(version)} ${result.value.join()}`;
      const count = (votes.get(vote) ?? 0) + 1;
      votes.set(vote, count);
      if (count >= NEEDED_AGREEMENT) {
        agreed.set(keyOf(version), build(version, result.value, chunkBytes));
      }
      return true;
    },
  };
}

function keyOf({ name, version }: ServedModel): string {
  return `${name} ${version}`;
}

function build(
  version: ServedModel,
  digests: readonly string[],
  chunkBytes: number,
): AgreedManifest {
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
