/**
 * Updates the endpoint on this host to the wanted version: fetches the manifest
 * and the chunks, stages the chunks, waits for the switch time and switches.
 * An endpoint whose load cannot be shown to be sound loads another version
 * first, as an order for the version that it serves has no effect.
 * The state is evaluated again after each step, because a newer version, a
 * crash of the endpoint or a corrupt chunk can occur during any of them.
 */

import type { ServedModel } from "../directory/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { WeightDistributor } from "../weights/mod.ts";
import type { ConfirmedManifest, ManifestSource } from "./manifest_source.ts";
import { chooseTargets, computeSwitchDelayMs } from "./choose_target.ts";
import type { TargetProgress } from "./choose_target.ts";
import type { EndpointApi } from "./endpoint_api.ts";
import type { FleetState, TargetVersion } from "./fleet_state.ts";
import type { LoadReporter } from "./load_reporter.ts";
import type { LoadVerification } from "./load_verification.ts";
import { repeatSteps } from "./repeat_steps.ts";
import { readStagedChunks, readValidChunks, stageChunks } from "./staging.ts";
import type { StagingOptions } from "./staging.ts";

const STEP_INTERVAL_MS = 50;
/** Interval between steps while the endpoint is up to date. */
const IDLE_STEP_INTERVAL_MS = 250;
/** Delay of the next manifest request after a failure of the origin. */
const ORIGIN_RETRY_MS = 300;
/** Time before the order in which entries learn to stop sending requests. */
const SWITCH_NOTICE_MS = 40;
/** Longer than the transfer of any chunk over a link with reduced bandwidth. */
const STALL_TIMEOUT_MS = 1_000;
/** After this time the next step evaluates the endpoint again. */
const SWITCH_TIMEOUT_MS = 6_000;
/** Several intervals between two reports of the endpoint. */
const REPORT_TIMEOUT_MS = 1_000;
/**
 * Staged chunks can turn corrupt after their check, for example while this
 * process is paused. The platform tolerates 3 s from there to the load; the
 * endpoint may take up to a second of them to accept the order.
 */
const MAX_CHECK_AGE_MS = 2_000;

export interface VersionUpdater {
  /** Manifest digest of the version being fetched. */
  currentDigest(): string | undefined;
  close(): void;
}

export interface VersionUpdaterOptions {
  readonly fleetState: FleetState;
  readonly manifests: ManifestSource;
  readonly weights: WeightDistributor;
  readonly endpoint: EndpointApi;
  readonly verification: LoadVerification;
  readonly reporter: LoadReporter;
  readonly logger: Logger;
  readonly ownHost: string;
  /** Hosts of the agents whose endpoints run the same model. */
  readonly listMembers: () => readonly string[];
  readonly switchWithinMs: number;
  readonly nowMs: () => number;
  /** Clock that also advances while this process or its host is paused. */
  readonly ageNowMs: () => number;
}

interface ChunkProgress {
  readonly chunksHeld: number;
  readonly lastChunkAtMs: number;
}

export function startVersionUpdater(
  options: VersionUpdaterOptions,
): VersionUpdater {
  const { fleetState, manifests, weights, reporter, logger, verification } =
    options;
  const endpoint: EndpointApi = {
    ...options.endpoint,
    writeStaged(...args) {
      verification.onWrite();
      return options.endpoint.writeStaged(...args);
    },
  };
  const adoptedDigests = new Set<string>();
  let currentManifest: ConfirmedManifest | undefined;
  const progressByVersion = new Map<number, ChunkProgress>();
  let nextRequestAtMs = 0;
  let stagedDigest: string | undefined;
  let isClosed = false;

  function findServedVersion(model: string): number | undefined {
    return reporter.report()?.models.find(({ name }) => name === model)
      ?.version;
  }

  function measureProgress(target: TargetVersion): TargetProgress {
    const manifest = manifests.find(target);
    if (manifest === undefined) {
      return { target, heldShare: 0, isStalled: false };
    }
    const { chunksHeld, chunkCount } = weights.progress(
      manifest.wanted.manifestDigest,
    );
    const nowMs = options.nowMs();
    const previous = progressByVersion.get(target.version);
    if (previous === undefined || chunksHeld > previous.chunksHeld) {
      progressByVersion.set(target.version, {
        chunksHeld,
        lastChunkAtMs: nowMs,
      });
    }
    return {
      target,
      heldShare: chunkCount === 0 ? 0 : chunksHeld / chunkCount,
      isStalled:
        nowMs - progressByVersion.get(target.version)!.lastChunkAtMs >
        STALL_TIMEOUT_MS,
    };
  }

  /** Returns the delay before the next step in milliseconds. */
  async function step(): Promise<number> {
    const report = reporter.report();
    const chunkBytes = fleetState.ownService()?.chunkBytes ?? 0;
    if (report === undefined || chunkBytes === 0) return STEP_INTERVAL_MS;
    const targets = fleetState.targets();
    const newest = targets.at(-1);
    if (newest === undefined) return STEP_INTERVAL_MS;
    const served = findServedVersion(newest.name);
    const progress = targets.map(measureProgress);
    const { toFetch, toLoad: newer } = chooseTargets(progress, served);
    if (served !== undefined) {
      await verifyServed({ name: newest.name, version: served });
    }
    const toLoad =
      newer ??
      (verification.state() === "unsound"
        ? findComplete(progress, served)
        : undefined);
    const hasResponse = await requestManifest(targets, chunkBytes);
    const manifestToFetch = toFetch && manifests.find(toFetch);
    if (manifestToFetch !== undefined) {
      await adoptStagedChunks(manifestToFetch);
      currentManifest = manifestToFetch;
      weights.setWantedVersion(manifestToFetch.wanted);
    }
    const manifestToLoad = toLoad && manifests.find(toLoad);
    if (toLoad !== undefined && manifestToLoad !== undefined)
      await stageAndSwitch(toLoad, manifestToLoad);
    if (hasResponse) return 0;
    const isDone =
      toLoad === undefined && measureProgress(newest).heldShare >= 1;
    return isDone ? IDLE_STEP_INTERVAL_MS : STEP_INTERVAL_MS;
  }

  /**
   * Requests a manifest for the newest version without one; true if received.
   */
  async function requestManifest(
    targets: readonly TargetVersion[],
    chunkBytes: number,
  ): Promise<boolean> {
    const target = targets
      .filter((target) => manifests.find(target) === undefined)
      .at(-1);
    const nowMs = options.nowMs();
    if (target === undefined || nowMs < nextRequestAtMs) return false;
    const hasResponse = await manifests.requestFromOrigin(target, chunkBytes);
    if (!hasResponse) nextRequestAtMs = nowMs + ORIGIN_RETRY_MS;
    return hasResponse;
  }

  function describeStaging({
    version,
    wanted,
    chunkDigests,
  }: ConfirmedManifest): StagingOptions {
    const chunkBytes = wanted.sizeBytes / chunkDigests.length;
    return { endpoint, model: version.name, chunkDigests, chunkBytes };
  }

  /** Chunks already staged at the endpoint need not be fetched again. */
  async function adoptStagedChunks(manifest: ConfirmedManifest) {
    const { manifestDigest } = manifest.wanted;
    if (adoptedDigests.has(manifestDigest)) return;
    adoptedDigests.add(manifestDigest);
    const { name: model } = manifest.version;
    const { chunkDigests } = manifest;
    const validChunks = await readValidChunks(describeStaging(manifest));
    const kept = weights.importChunks(manifest.wanted, manifest.bytes, [
      ...validChunks.values(),
    ]);
    logger.info(
      {
        model,
        version: manifest.version.version,
        kept,
        chunkCount: chunkDigests.length,
      },
      "adopted staged chunks",
    );
  }

  async function stageAndSwitch(
    target: TargetVersion,
    manifest: ConfirmedManifest,
  ) {
    const { manifestDigest } = manifest.wanted;
    const chunks = weights.readChunks(manifestDigest);
    if (chunks === undefined) return;
    const staging = describeStaging(manifest);
    if (stagedDigest !== manifestDigest) {
      if (!(await stageChunks(staging, chunks))) return;
      stagedDigest = manifestDigest;
    }
    if (!isSwitchDue(target)) return;
    const checkedAtMs = options.ageNowMs();
    if (!(await stageChunks(staging, chunks))) return;
    await switchTo(target, { manifest, checkedAtMs });
  }

  function isSwitchDue(target: TargetVersion): boolean {
    if (findServedVersion(target.name) === undefined) return true;
    if (verification.state() === "unsound") return true;
    const delayMs = computeSwitchDelayMs({
      members: options.listMembers(),
      ownHost: options.ownHost,
      switchWithinMs: options.switchWithinMs,
    });
    return options.nowMs() >= target.publishedAtMs + delayMs;
  }

  /** Reads the staged chunks back if a load of unknown soundness is served. */
  async function verifyServed(version: ServedModel) {
    if (verification.state() !== "unverified") return;
    if (reporter.report()?.isBusy ?? true) return;
    const manifest = manifests.find(version);
    if (manifest !== undefined) await verifyLoad(manifest);
  }

  /** Call once the endpoint has accepted an order for this version. */
  async function verifyLoad(manifest: ConfirmedManifest) {
    const { version, chunkDigests } = manifest;
    const finishCheck = verification.startCheck();
    const { valid, isReadCompletely } = await readStagedChunks(
      describeStaging(manifest),
    );
    if (!isReadCompletely) return;
    finishCheck(valid.size === chunkDigests.length);
    const state = verification.state();
    const corruptChunks = chunkDigests.length - valid.size;
    const details = { model: version.name, version: version.version, state };
    if (state === "sound") logger.info(details, "verified a load");
    else logger.warn({ ...details, corruptChunks }, "verified a load");
  }

  interface CheckedVersion {
    readonly manifest: ConfirmedManifest;
    /** The time before the staged chunks were verified. */
    readonly checkedAtMs: number;
  }

  async function switchTo(
    target: TargetVersion,
    { manifest, checkedAtMs }: CheckedVersion,
  ) {
    const acceptedOrders = reporter.report()?.acceptedOrders;
    if (acceptedOrders === undefined) return;
    reporter.setSwitching(true);
    try {
      await sleep(SWITCH_NOTICE_MS);
      const { name, version } = target;
      let checkAgeMs = 0;
      let sentAtMs = Infinity;
      const result = await endpoint.startVersion(
        { name, version },
        {
          acceptedOrders,
          mayBeSent() {
            sentAtMs = options.nowMs();
            checkAgeMs = options.ageNowMs() - checkedAtMs;
            return checkAgeMs <= MAX_CHECK_AGE_MS;
          },
        },
      );
      const outcome = result.isOk() ? result.value : result.error;
      logger.info(
        { model: name, version, outcome, checkAgeMs: Math.round(checkAgeMs) },
        "ordered a switch",
      );
      if (outcome !== "begun") return await waitUntilReported();
      const order = { acceptedOrders: acceptedOrders + 1, sentAtMs };
      verification.onOrderAccepted(order);
      await verifyLoad(manifest);
      await waitUntilServed(target);
    } finally {
      reporter.setSwitching(false);
    }
  }

  /** The endpoint may have accepted the order all the same, or another one. */
  async function waitUntilReported() {
    const startedAtMs = options.nowMs();
    while (!isClosed && options.nowMs() - startedAtMs < REPORT_TIMEOUT_MS) {
      await sleep(STEP_INTERVAL_MS);
      if (verification.lastReportAtMs() >= startedAtMs) return;
    }
  }

  async function waitUntilServed(target: TargetVersion) {
    const startedAtMs = options.nowMs();
    while (!isClosed && options.nowMs() - startedAtMs < SWITCH_TIMEOUT_MS) {
      await sleep(STEP_INTERVAL_MS);
      const report = reporter.report();
      // A crash has aborted the order; the next step handles the empty
      // endpoint.
      if (report === undefined) return;
      const isServed = findServedVersion(target.name) === target.version;
      if (isServed && !report.isBusy) return;
    }
  }

  const steps = repeatSteps({ name: "update_version", step, logger });
  return {
    currentDigest: () => currentManifest?.wanted.manifestDigest,
    close() {
      isClosed = true;
      steps.close();
    },
  };
}

/** The newest complete version other than the served one. */
function findComplete(
  progress: readonly TargetProgress[],
  servedVersion: number | undefined,
): TargetVersion | undefined {
  return progress.findLast(
    ({ target, heldShare }) =>
      heldShare >= 1 && target.version !== servedVersion,
  )?.target;
}

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
