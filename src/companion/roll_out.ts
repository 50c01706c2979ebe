/**
 * Brings the endpoint beside this agent to the wanted weights: get the
 * manifest, get the chunks, stage them, wait for the turn, switch. The task
 * looks at everything anew after each step, because a newer version, a crash
 * of the endpoint or a spoilt chunk can come at any of them.
 */

import type { Logger } from "../logging/mod.ts";
import type { Weights } from "../weights/mod.ts";
import type { AgreedManifest, ManifestSource } from "./agreed_manifest.ts";
import { chooseTarget, computeTurnMs } from "./choose_target.ts";
import type { EndpointControl } from "./endpoint_control.ts";
import type { FleetFacts, TargetWeights } from "./fleet_facts.ts";
import type { LoadReporter } from "./load_reporter.ts";
import { readSoundChunks, stageChunks } from "./staging.ts";

const STEP_MS = 50;
/** Between looks at an endpoint that has what it should have. */
const IDLE_STEP_MS = 250;
/** The origin or the way to it is down; asked again after this. */
const ORIGIN_PAUSE_MS = 300;
/** Entries have been told to stop sending for this long before the order. */
const SWITCH_NOTICE_MS = 40;
/** A switch that takes longer is looked at anew. */
const SWITCH_LIMIT_MS = 6_000;

export interface RollOut {
  /** The manifest digest of the version that is being fetched. */
  currentDigest(): string | undefined;
  close(): void;
}

export interface RollOutOptions {
  readonly facts: FleetFacts;
  readonly manifests: ManifestSource;
  readonly weights: Weights;
  readonly endpoint: EndpointControl;
  readonly reporter: LoadReporter;
  readonly logger: Logger;
  readonly self: string;
  /** Agents whose endpoints run the same model. */
  readonly listMembers: () => readonly string[];
  readonly switchWithinMs: number;
  readonly nowMs: () => number;
}

export function startRollOut(options: RollOutOptions): RollOut {
  const { facts, manifests, weights, endpoint, reporter, logger } = options;
  const adopted = new Set<string>();
  let current: AgreedManifest | undefined;
  let stagedDigest: string | undefined;
  let isClosed = false;

  function servedVersion(model: string): number | undefined {
    return reporter.report()?.models.find(({ name }) => name === model)
      ?.version;
  }

  function measure(target: TargetWeights) {
    const manifest = manifests.find(target);
    if (manifest === undefined) return { target, heldShare: 0 };
    const { chunksHeld, chunkCount } = weights.progress(
      manifest.wanted.manifestDigest,
    );
    return {
      target,
      heldShare: chunkCount === 0 ? 0 : chunksHeld / chunkCount,
    };
  }

  /** Returns the time until the next step. */
  async function step(): Promise<number> {
    const report = reporter.report();
    const chunkBytes = facts.ownService()?.chunkBytes ?? 0;
    if (report === undefined || chunkBytes === 0) return STEP_MS;
    const targets = facts.targets();
    const newest = targets.at(-1);
    if (newest === undefined) return STEP_MS;
    const unknown = targets
      .filter((target) => manifests.find(target) === undefined)
      .at(-1);
    const target = chooseTarget(
      targets.map(measure),
      servedVersion(newest.name),
    );
    // Held also when it is served already: others fetch it from here.
    const wanted = target ?? newest;
    if (unknown?.version === wanted.version) {
      return (await manifests.ask(unknown, chunkBytes)) ? 0 : ORIGIN_PAUSE_MS;
    }
    if (unknown !== undefined) await manifests.ask(unknown, chunkBytes);
    const manifest = manifests.find(wanted);
    if (manifest === undefined) return STEP_MS;
    await adoptStaged(manifest);
    current = manifest;
    weights.want(manifest.wanted);
    if (target === undefined) {
      return unknown === undefined ? IDLE_STEP_MS : ORIGIN_PAUSE_MS;
    }
    await bringUp(target, manifest);
    return STEP_MS;
  }

  /** Chunks that lie at the endpoint from before need not be fetched. */
  async function adoptStaged(manifest: AgreedManifest) {
    const { manifestDigest } = manifest.wanted;
    if (adopted.has(manifestDigest)) return;
    adopted.add(manifestDigest);
    const { name: model } = manifest.version;
    const { chunkDigests } = manifest;
    const sound = await readSoundChunks({ endpoint, model, chunkDigests });
    const kept = weights.adopt(manifest.wanted, manifest.bytes, [
      ...sound.values(),
    ]);
    logger.info(
      {
        model,
        version: manifest.version.version,
        kept,
        chunkCount: chunkDigests.length,
      },
      "took over staged chunks",
    );
  }

  async function bringUp(target: TargetWeights, manifest: AgreedManifest) {
    const { manifestDigest } = manifest.wanted;
    const chunks = weights.readChunks(manifestDigest);
    if (chunks === undefined) return;
    const { chunkDigests } = manifest;
    const staging = { endpoint, model: target.name, chunkDigests };
    if (stagedDigest !== manifestDigest) {
      if (!(await stageChunks(staging, chunks))) return;
      stagedDigest = manifestDigest;
    }
    if (!isTurn(target)) return;
    if (!(await stageChunks(staging, chunks))) return;
    await switchTo(target);
  }

  function isTurn(target: TargetWeights): boolean {
    if (servedVersion(target.name) === undefined) return true;
    const turnMs = computeTurnMs({
      members: options.listMembers(),
      self: options.self,
      switchWithinMs: options.switchWithinMs,
    });
    return options.nowMs() >= target.publishedAtMs + turnMs;
  }

  async function switchTo(target: TargetWeights) {
    reporter.setSwitching(true);
    try {
      await wait(SWITCH_NOTICE_MS);
      const { name, version } = target;
      const result = await endpoint.startVersion({ name, version });
      const outcome = result.isOk() ? result.value : result.error;
      logger.info({ model: name, version, outcome }, "ordered a switch");
      if (outcome === "begun" || outcome === "in_effect") {
        await waitUntilServed(target);
      }
    } finally {
      reporter.setSwitching(false);
    }
  }

  async function waitUntilServed(target: TargetWeights) {
    const startedAtMs = options.nowMs();
    while (!isClosed && options.nowMs() - startedAtMs < SWITCH_LIMIT_MS) {
      await wait(STEP_MS);
      const report = reporter.report();
      // A crash has ended the order; the next step sees an empty endpoint.
      if (report === undefined) return;
      const isServed = servedVersion(target.name) === target.version;
      if (isServed && !report.isBusy) return;
    }
  }

  async function run() {
    while (!isClosed) {
      await wait(await step());
    }
  }

  void run();
  return {
    currentDigest: () => current?.wanted.manifestDigest,
    close() {
      isClosed = true;
    },
  };
}

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
