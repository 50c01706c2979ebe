/**
 * Workers and their agents as processes, with versions in quick succession.
 * Agents are paused, often right after they have verified the staged chunks, and
 * killed; chunks turn corrupt meanwhile. Seeds by hand: SOAK_SEEDS=1,2,3 and
 * SOAK_S=60.
 */

import { afterEach, beforeAll, expect, test } from "@jest/globals";
import type { PlatformFleet } from "../../stand_ins/users_platform/mod.ts";
import { buildPrograms } from "../build_programs.ts";
import { createRandom, drawFrom } from "../seeded_random.ts";
import type { Range } from "../seeded_random.ts";
import { startServingFleet } from "./serving_fleet.ts";

const SEEDS = (process.env["SOAK_SEEDS"] ?? "3").split(",").map(Number);
const DURATION_MS = Number(process.env["SOAK_S"] ?? "25") * 1_000;
const WORKERS = 3;
const CHUNKS = 16;
const VERSION_INTERVAL_MS = { min: 4_000, max: 9_000 };
const PAUSE_MS = { min: 500, max: 4_700 };
const CORRUPTION_DELAY_MS = 200;
/** Share of the checks that a pause follows. */
const PAUSE_SHARE = 0.25;
const KILL_INTERVAL_MS = { min: 5_000, max: 12_000 };
const RESTART_MS = 500;
const CALL_INTERVAL_MS = 60;
const CALL_TIMEOUT_MS = 3_000;

let fleet: PlatformFleet | undefined;
const stoppers: (() => void)[] = [];

beforeAll(() => buildPrograms(), 120_000);

afterEach(async () => {
  stoppers.splice(0).forEach((stop) => stop());
  await fleet?.close();
  fleet = undefined;
});

const wait = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

// Guards against answers from chunks that were corrupt, missing or of another
// version when their worker loaded them.
test.each(SEEDS)(
  "no request runs on unsound weights beside pauses, kills and corrupt chunks (seed %d)",
  async (seed) => {
    const random = createRandom(seed);
    const draw = (range: Range) => drawFrom(random, range);
    const paused = new Set<number>();
    let pauses = 0;

    async function pause(index: number) {
      if (paused.has(index) || fleet === undefined) return;
      const { sidecarOf, workers } = fleet;
      paused.add(index);
      pauses += 1;
      const child = sidecarOf(index);
      child.kill("SIGSTOP");
      const pauseMs = draw(PAUSE_MS);
      await wait(CORRUPTION_DELAY_MS);
      const chunk = Math.floor(random() * CHUNKS);
      workers[index]!.corruptStagedChunk(chunk);
      await wait(pauseMs - CORRUPTION_DELAY_MS);
      child.kill("SIGCONT");
      paused.delete(index);
    }

    const { fleet: started, call } = await startServingFleet(
      {
        gateways: 1,
        workers: Array.from({ length: WORKERS }, () => 1),
        callTimeoutMs: CALL_TIMEOUT_MS,
        onStagedRead(index) {
          if (random() < PAUSE_SHARE) setTimeout(() => void pause(index), 5);
        },
      },
      (created) => (fleet = created),
    );
    let isRunning = true;
    stoppers.push(() => (isRunning = false));
    const endsAtMs = performance.now() + DURATION_MS;
    const isOver = () => !isRunning || performance.now() > endsAtMs;

    async function publishVersions() {
      for (let version = 2; !isOver(); version += 1) {
        started.publishVersion(version);
        await wait(draw(VERSION_INTERVAL_MS));
      }
    }

    async function killAgents() {
      while (!isOver()) {
        await wait(draw(KILL_INTERVAL_MS));
        const index = Math.floor(random() * WORKERS);
        if (isOver() || paused.has(index)) continue;
        started.sidecarOf(index).kill("SIGKILL");
        await wait(RESTART_MS);
        await started.restartSidecar(index);
      }
    }

    async function sendCalls() {
      const calls: Promise<unknown>[] = [];
      while (!isOver()) {
        calls.push(call(`c${calls.length}`));
        await wait(CALL_INTERVAL_MS);
      }
      await Promise.all(calls);
    }

    await Promise.all([publishVersions(), killAgents(), sendCalls()]);
    expect(pauses).toBeGreaterThan(0);
    expect(started.workers.flatMap(({ unsoundRuns }) => unsoundRuns)).toEqual(
      [],
    );
    const runs = started.workers.flatMap((w) => w.startedAttemptIds);
    expect(runs.length).toBeGreaterThan(0);
  },
  DURATION_MS + 40_000,
);
