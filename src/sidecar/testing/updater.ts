/** A version updater in front of a fake endpoint, with all chunks at hand. */

import { createHash } from "node:crypto";
import { SILENT_LOGGER } from "../../directory/testing/mod.ts";
import type { WeightDistributor } from "../../weights/mod.ts";
import type { TargetVersion } from "../fleet_state.ts";
import type { LoadReporter } from "../load_reporter.ts";
import type { ManifestSource } from "../manifest_source.ts";
import { startVersionUpdater } from "../version_updater.ts";
import { CHUNK_COUNT, createTestChunk, MODEL } from "./fake_endpoint.ts";
import type { createFakeEndpoint } from "./fake_endpoint.ts";

function listChunks(version: number): readonly Buffer[] {
  return Array.from({ length: CHUNK_COUNT }, (_, index) =>
    createTestChunk(version, index),
  );
}

/** `skippedMs` is added to the clock by which checks age. */
export function startTestUpdater(
  fake: ReturnType<typeof createFakeEndpoint>,
  options: {
    readonly versions: () => readonly number[];
    readonly skippedMs?: () => number;
  },
) {
  const nowMs = () => performance.now();
  const targets = (): readonly TargetVersion[] =>
    options
      .versions()
      .map((version) => ({ name: MODEL, version, publishedAtMs: -Infinity }));
  let isSwitching = false;
  const updater = startVersionUpdater({
    fleetState: {
      targets,
      ownService: () => ({
        name: "pool",
        models: [MODEL],
        chunkCount: CHUNK_COUNT,
        chunkBytes: 3,
      }),
      origin: () => undefined,
      update: () => true,
      onChange: () => undefined,
    },
    manifests: {
      find: (version: TargetVersion) => ({
        version,
        wanted: { manifestDigest: String(version.version), sizeBytes: 6 },
        bytes: Buffer.alloc(0),
        chunkDigests: listChunks(version.version).map(
          (bytes) =>
            `sha256:${createHash("sha256").update(bytes).digest("hex")}`,
        ),
      }),
    } as unknown as ManifestSource,
    weights: {
      setWantedVersion: () => undefined,
      progress: () => ({ chunksHeld: CHUNK_COUNT, chunkCount: CHUNK_COUNT }),
      readChunks: (digest: string) => listChunks(Number(digest)),
      importChunks: () => CHUNK_COUNT,
    } as unknown as WeightDistributor,
    endpoint: fake.endpoint,
    reporter: {
      report: fake.readReport,
      setSwitching: (value: boolean) => void (isSwitching = value),
    } as LoadReporter,
    logger: SILENT_LOGGER,
    ownHost: "side-1",
    listMembers: () => ["side-1"],
    switchWithinMs: 0,
    nowMs,
    ageNowMs: () => nowMs() + (options.skippedMs?.() ?? 0),
  });
  return { close: updater.close, isSwitching: () => isSwitching };
}
