/**
 * Ends attempts that have not started when requests may no longer start on
 * their endpoint's version of weights. The time that is left can shrink while
 * an attempt waits: a version becomes known, another entry knows more about its
 * publication, the round trip to the endpoint grows, or the clock jumps.
 */

import type { Directory, WantedWeights } from "../directory/mod.ts";

/** Limits how late a longer round trip or a jump of the clock is seen. */
const RECHECK_INTERVAL_MS = 250;

/** Reason of an attempt that was ended because of its version. */
export const VERSION_EXPIRED_REASON = "version_expired";

export interface VersionDeadline {
  /** The request has started, or the attempt has ended. */
  close(): void;
}

export interface VersionDeadlines {
  /**
   * Calls `onExpired` once when `readTimeLeftMs` returns no more time; it
   * returns Infinity on the newest version.
   */
  track(readTimeLeftMs: () => number, onExpired: () => void): VersionDeadline;
}

export function createVersionDeadlines(
  directory: Pick<Directory, "onChange" | "wantedModels" | "wantedWeights">,
): VersionDeadlines {
  const checks = new Set<() => void>();
  let checkedWeights: readonly (readonly WantedWeights[])[] = [];

  // Most changes of the directory are those of endpoints.
  directory.onChange(() => {
    const weights = directory.wantedModels().map(directory.wantedWeights);
    const isSame =
      weights.length === checkedWeights.length &&
      weights.every((items, index) => items === checkedWeights[index]);
    if (isSame) return;
    checkedWeights = weights;
    [...checks].forEach((check) => check());
  });

  return {
    track(readTimeLeftMs, onExpired) {
      let timer: NodeJS.Timeout | undefined;
      let recheckTimer: NodeJS.Timeout | undefined;
      let deadlineMs = Infinity;

      function close() {
        clearTimeout(timer);
        clearInterval(recheckTimer);
        checks.delete(check);
      }

      function expire() {
        close();
        onExpired();
      }

      function setDeadline(timeLeftMs: number) {
        clearTimeout(timer);
        deadlineMs = performance.now() + timeLeftMs;
        timer = setTimeout(expire, timeLeftMs);
        recheckTimer ??= setInterval(recheck, RECHECK_INTERVAL_MS);
      }

      function check() {
        const timeLeftMs = readTimeLeftMs();
        if (timeLeftMs <= 0) expire();
        else if (timeLeftMs < Infinity) setDeadline(timeLeftMs);
      }

      function recheck() {
        const timeLeftMs = readTimeLeftMs();
        if (performance.now() + timeLeftMs < deadlineMs) check();
      }

      checks.add(check);
      check();
      return { close };
    },
  };
}
