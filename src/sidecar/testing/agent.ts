/**
 * The parts of the agent that load versions, in front of a fake endpoint. All
 * manifests and chunks are at hand.
 */

import { createHash } from "node:crypto";
import { SILENT_LOGGER } from "../../directory/testing/mod.ts";
import type { Mesh } from "../../mesh/mod.ts";
import type { WeightDistributor } from "../../weights/mod.ts";
import type { EndpointLoadNotice, Phase } from "../../wire/mod.ts";
import type { TargetVersion } from "../fleet_state.ts";
import { startLoadReporter } from "../load_reporter.ts";
import { createLoadVerification } from "../load_verification.ts";
import type { ManifestSource } from "../manifest_source.ts";
import { startVersionUpdater } from "../version_updater.ts";
import { CHUNK_COUNT, createTestChunk, MODEL } from "./fake_endpoint.ts";
import type { FakeEndpoint } from "./fake_endpoint.ts";

function listChunks(version: number): readonly Buffer[] {
  return Array.from({ length: CHUNK_COUNT }, (_, index) =>
    createTestChunk(version, index),
  );
}

function createManifest(version: TargetVersion) {
  return {
    version,
    wanted: { manifestDigest: String(version.version), sizeBytes: 6 },
    bytes: Buffer.alloc(0),
    chunkDigests: listChunks(version.version).map(
      (bytes) => `sha256:${createHash("sha256").update(bytes).digest("hex")}`,
    ),
  };
}

export interface TestAgentOptions {
  /** Versions that have been published, oldest first. */
  readonly versions: () => readonly number[];
  /** Added to the clock by which checks age. */
  readonly skippedMs?: () => number;
  /** Called with each phase that entries are told. */
  readonly onPhase?: (phase: Phase) => void;
}

export function startTestAgent(fake: FakeEndpoint, options: TestAgentOptions) {
  const nowMs = () => performance.now();
  const verification = createLoadVerification(nowMs);
  const peer = {
    sendNotice: ({ phase }: EndpointLoadNotice) => options.onPhase?.(phase),
  };
  const reporter = startLoadReporter({
    endpoint: fake.endpoint,
    address: "127.0.0.1:1",
    mesh: {
      partners: () => [{ peer, isLocal: true }],
      onPeer: () => undefined,
    } as unknown as Mesh,
    readSharePerS: () => undefined,
    isLoadSound: () => verification.state() === "sound",
    onReport: verification.onReport,
    logger: SILENT_LOGGER,
  });
  const updater = startVersionUpdater({
    fleetState: {
      targets: () =>
        options.versions().map((version) => ({
          name: MODEL,
          version,
          publishedAtMs: -Infinity,
        })),
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
    manifests: { find: createManifest } as unknown as ManifestSource,
    weights: {
      setWantedVersion: () => undefined,
      progress: () => ({ chunksHeld: CHUNK_COUNT, chunkCount: CHUNK_COUNT }),
      readChunks: (digest: string) => listChunks(Number(digest)),
      importChunks: () => CHUNK_COUNT,
    } as unknown as WeightDistributor,
    endpoint: fake.endpoint,
    verification,
    reporter,
    logger: SILENT_LOGGER,
    ownHost: "side-1",
    listMembers: () => ["side-1"],
    switchWithinMs: 0,
    nowMs,
    ageNowMs: () => nowMs() + (options.skippedMs?.() ?? 0),
  });
  return {
    close() {
      updater.close();
      reporter.close();
    },
  };
}
