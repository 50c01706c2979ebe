/**
 * Brings the endpoint beside this agent to the wanted weights: get the
 * manifest, get the chunks, stage them, wait for the turn, switch. The task
 * looks at everything anew after each step, because a newer version, a crash
 * of the endpoint or a spoilt chunk can come at any of them.
 */

import type { Logger } from "../logging/mod.ts";
import type { Weights } from "../weights/mod.ts";
import type { AgreedManifest, ManifestSource } from "./agreed_manifest.ts";
import { chooseTargets, computeTurnMs } from "./choose_target.ts";
import type { TargetProgress } from "./choose_target.ts";
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
/** Longer than any chunk takes on a narrowed link. */
const STALLED_MS = 1_000;
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

interface Arrival {
  readonly chunksHeld: number;
  /** When the last of these chunks arrived. */
  readonly sinceMs: number;
}

export function startRollOut(options: RollOutOptions): RollOut {
  const { facts, manifests, weights, endpoint, reporter, logger } = options;
  const adopted = new Set<string>();
  let current: AgreedManifest | undefined;
  const arrivals = new Map<number, Arrival>();
  let askAgainAtMs = 0;
  let stagedDigest: string | undefined;
  let isClosed = false;

  function servedVersion(model: string): number | undefined {
    return reporter.report()?.models.find(({ name }) => name === model)
      ?.version;
  }

  function measure(target: TargetWeights): TargetProgress {
    const manifest = manifests.find(target);
    if (manifest === undefined) {
      return { target, heldShare: 0, isStalled: false };
    }
    const { chunksHeld, chunkCount } = weights.progress(
      manifest.wanted.manifestDigest,
    );
    const now = options.nowMs();
    const former = arrivals.get(target.version);
    if (former === undefined || chunksHeld > former.chunksHeld) {
      arrivals.set(target.version, { chunksHeld, sinceMs: now });
    }
    return {
      target,
      heldShare: chunkCount === 0 ? 0 : chunksHeld / chunkCount,
      isStalled: now - arrivals.get(target.version)!.sinceMs > STALLED_MS,
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
    const { fetch, load } = chooseTargets(
      targets.map(measure),
      servedVersion(newest.name),
    );
    const hasAsked = await askForManifests(targets, chunkBytes);
    const wanted = fetch && manifests.find(fetch);
    if (wanted !== undefined) {
      await adoptStaged(wanted);
      current = wanted;
      weights.want(wanted.wanted);
    }
    const loaded = load && manifests.find(load);
    if (load !== undefined && loaded !== undefined) await bringUp(load, loaded);
    if (hasAsked) return 0;
    const isDone = load === undefined && measure(newest).heldShare >= 1;
    return isDone ? IDLE_STEP_MS : STEP_MS;
  }

  /** One question for the newest version without a manifest, if there is one. */
  async function askForManifests(
    targets: readonly TargetWeights[],
    chunkBytes: number,
  ): Promise<boolean> {
    const unknown = targets
      .filter((target) => manifests.find(target) === undefined)
      .at(-1);
    const now = options.nowMs();
    if (unknown === undefined || now < askAgainAtMs) return false;
    const isAnswered = await manifests.ask(unknown, chunkBytes);
    if (!isAnswered) askAgainAtMs = now + ORIGIN_PAUSE_MS;
    return isAnswered;
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
