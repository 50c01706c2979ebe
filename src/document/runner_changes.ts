/**
 * Checks that a new document does not change the runner of an idempotency key
 * whose request may already have run. An agent with the old document runs keys
 * up to its last confirmation plus `runner_lead_s`, so every runner set that
 * begins before now plus `runner_lead_s` must stay unchanged.
 */

import type {
  EnvironmentDocument,
  PlainService,
  RunnerSet,
} from "./environment_document.ts";
import type { Issue, Path } from "./issue.ts";

const MS_PER_MINUTE = 60_000;

export function checkRunnerChanges(
  [before, after]: readonly [EnvironmentDocument, EnvironmentDocument],
  nowMs: number,
): readonly Issue[] {
  return after.services.flatMap((service, index) => {
    const old = before.services.find(({ name }) => name === service.name);
    const path = ["services", index, "runner_sets"];
    // Keys may have run if a service of this name was removed before.
    if (old === undefined && service.kind === "plain") {
      const removed = { ...service, runnerSets: [] };
      return compareRunnerSets([removed, service], { path, nowMs });
    }
    // Without earlier runner sets no key has run yet.
    if (old?.kind !== "plain" || old.runnerSets.length === 0) return [];
    if (service.kind !== "plain") {
      return [
        createIssue(["services", index, "kind"], {
          message: `Service ${service.name} had runner sets and is no longer plain`,
          fix: "Give the new service another name",
        }),
      ];
    }
    return compareRunnerSets([old, service], { path, nowMs });
  });
}

function compareRunnerSets(
  [before, after]: readonly [PlainService, PlainService],
  { path, nowMs }: { path: Path; nowMs: number },
): readonly Issue[] {
  const leadS = Math.max(before.runnerLeadS, after.runnerLeadS);
  const earliestMs =
    Math.ceil((nowMs + leadS * 1_000) / MS_PER_MINUTE) * MS_PER_MINUTE;
  const changed = after.runnerSets.flatMap((set, index) => {
    if (set.fromMs >= earliestMs) return [];
    const old = before.runnerSets.find(({ fromMs }) => fromMs === set.fromMs);
    if (old === undefined) {
      return [
        createIssue([...path, index, "from"], {
          message: `A new runner set begins at ${formatTime(set.fromMs)}, less than runner_lead_s (${leadS} s) ahead of now`,
          fix: `Use a time from ${formatTime(earliestMs)} on`,
        }),
      ];
    }
    if (hasSameRunners(old, set)) return [];
    return [
      createIssue([...path, index, "runners"], {
        message: `The runner set from ${formatTime(set.fromMs)} has changed; keys that ran on a host of the old set could run again`,
        fix: `Restore ${old.runners.join(", ")} and add a set from ${formatTime(earliestMs)} on`,
      }),
    ];
  });
  const removed = before.runnerSets
    .filter(
      ({ fromMs }) =>
        fromMs < earliestMs &&
        !after.runnerSets.some((set) => set.fromMs === fromMs),
    )
    .map((set) =>
      createIssue(path, {
        message: `The runner set from ${formatTime(set.fromMs)} is removed; keys that ran on its hosts could run again`,
        fix: `Restore the set from ${formatTime(set.fromMs)} with ${set.runners.join(", ")}`,
      }),
    );
  return [...changed, ...removed];
}

export function hasSameRunners(a: RunnerSet, b: RunnerSet): boolean {
  return [...a.runners].sort().join() === [...b.runners].sort().join();
}

export function formatTime(timeMs: number): string {
  return new Date(timeMs).toISOString().replace(".000Z", "Z");
}

function createIssue(
  path: Path,
  { message, fix }: { message: string; fix: string },
): Issue {
  return { path, at: "value", message, fix };
}
