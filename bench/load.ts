/** Open-loop load: arrivals follow a seeded Poisson process. */

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
  const pending = new Set<Promise<void>>();
  let sent = 0;
  let nextAtMs = performance.now();
  let timer: NodeJS.Timeout;

  function launch() {
    sent += 1;
    const call = send().then((result) => {
      results.push(result);
      pending.delete(call);
    });
    pending.add(call);
  }

  function tick() {
    while (nextAtMs <= performance.now()) {
      launch();
      nextAtMs += (-Math.log(1 - random()) / ratePerS) * 1000;
    }
    timer = setTimeout(tick, Math.max(1, nextAtMs - performance.now()));
  }

  tick();
  return {
    sent: () => sent,
    results: () => results,
    async stop() {
      clearTimeout(timer);
      while (pending.size > 0) await Promise.all(pending);
      return results;
    },
  };
}
