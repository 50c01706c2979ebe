/**
 * Chooses the one host that may run a non-repeatable request. The choice
 * depends only on the key and the configured runner sets, never on which hosts
 * are live, so that processes with different views of the fleet agree.
 */

import type { RunnerSet } from "../document/mod.ts";
import { rankByHash } from "../hashing/mod.ts";
import { readKeyTimeMs } from "./key_format.ts";

/** Undefined if the key is older than every runner set. */
export function chooseRunner(
  key: string,
  runnerSets: readonly RunnerSet[],
): string | undefined {
  const keyTimeMs = readKeyTimeMs(key);
  const set = runnerSets.reduce<RunnerSet | undefined>(
    (latest, next) =>
      next.fromMs <= keyTimeMs && next.fromMs >= (latest?.fromMs ?? -Infinity)
        ? next
        : latest,
    undefined,
  );
  return set && rankByHash(key, set.runners)[0];
}
