/** Generates open-loop load: arrivals follow a seeded Poisson process. */

import type { CallResult } from "./call.ts";
import type { Random } from "./random.ts";

export interface RunningLoad<T extends CallResult> {
  sent(): number;
  results(): readonly T[];
  /** Stops sending and waits for the calls in progress. */
  stop(): Promise<readonly T[]>;
}

export interface LoadOptions<T extends CallResult> {
  readonly ratePerS: number;
  readonly random: Random;
  readonly send: () => Promise<T>;
}

export function startLoad<T extends CallResult>(
  options: LoadOptions<T>,
): RunningLoad<T> {
  const { ratePerS, random, send } = options;
  const results: T[] = [];
  const inProgress = new Set<Promise<void>>();
  let sent = 0;
  let nextAtMs = performance.now();
  let timer: NodeJS.Timeout;

  function startCall() {
    sent += 1;
    const call = send().then((result) => {
      results.push(result);
      inProgress.delete(call);
    });
    inProgress.add(call);
  }

  function startDueCalls() {
    while (nextAtMs <= performance.now()) {
      startCall();
      nextAtMs += (-Math.log(1 - random()) / ratePerS) * 1000;
    }
    timer = setTimeout(
      startDueCalls,
      Math.max(1, nextAtMs - performance.now()),
    );
  }

  startDueCalls();
  return {
    sent: () => sent,
    results: () => results,
    async stop() {
      clearTimeout(timer);
      while (inProgress.size > 0) await Promise.all(inProgress);
      return results;
    },
  };
}
