/**
 * Reports that versions of weights have become known, after a short time, so
 * that the other entries can be asked when they were published. A version whose
 * grace period would start after an outage is also reported at once, because
 * others may know that it has passed already.
 */

import type { Directory, WantedWeights } from "../directory/mod.ts";

/**
 * Other entries learn of a version a few hundred milliseconds earlier or later;
 * one that doesn't know it yet has no date for it.
 */
const ASK_DELAY_MS = 600;

export interface NewVersions {
  close(): void;
}

export function watchNewVersions(
  directory: Directory,
  handleNewVersions: () => void,
): NewVersions {
  const knownVersions = new Set<string>();
  const timers = new Set<NodeJS.Timeout>();
  let isClosed = false;

  function handleChange() {
    const added = directory
      .wantedModels()
      .flatMap((model) => directory.wantedWeights(model))
      .filter((item) => !knownVersions.has(keyOf(item)));
    if (added.length === 0 || isClosed) return;
    added.forEach((item) => knownVersions.add(keyOf(item)));
    if (added.some(isPostponed)) handleNewVersions();
    const timer = setTimeout(() => {
      timers.delete(timer);
      handleNewVersions();
    }, ASK_DELAY_MS);
    timers.add(timer);
  }

  directory.onChange(handleChange);
  return {
    close() {
      isClosed = true;
      timers.forEach((timer) => clearTimeout(timer));
    },
  };
}

function keyOf({ model, version }: WantedWeights): string {
  return `${model} ${version}`;
}

function isPostponed({ notBeforeMs, graceStartMs }: WantedWeights): boolean {
  return graceStartMs > notBeforeMs;
}
