/**
 * How the requests that wait at the endpoints of a service divide by
 * `Request-Priority`. Load pattern: queues at endpoints in which requests of
 * several urgencies wait, sent by entries that do not see each other's requests.
 *
 * The load balancer spreads callers over the entries, so the requests of the
 * other entries are taken to divide as this entry's own ones do. Each own
 * request counts for as long as it waits, since less urgent ones wait longer and
 * are more of a queue than of the traffic.
 */

import { PRIORITY_LEVELS } from "./urgency.ts";

/** Longer than most waits, shorter than a burst. */
const DECAY_MS = 1_000;
/** In requests that wait all the time; a request that starts at once counts, too. */
const SENT_WEIGHT = 0.05;
/**
 * Weight of requests of unknown priority, which are taken to be ahead. Keeps an
 * entry that has sent little from judging by one or two requests.
 */
const UNKNOWN_WEIGHT = 0.5;

export interface QueueMix {
  /** Counts a request as waiting until the returned function is called. */
  track(priority: number): () => void;
  /**
   * Share of the waiting requests that an endpoint admits before a new one of
   * this priority. 1 while nothing is known.
   */
  readShareAhead(priority: number): number;
}

export function createQueueMix(nowMs: () => number): QueueMix {
  const waiting = Array.from({ length: PRIORITY_LEVELS }, () => 0);
  /** Mean numbers of waiting requests of the last `DECAY_MS`. */
  let means: readonly number[] = waiting.map(() => 0);
  let updatedAtMs = nowMs();

  function update() {
    const now = nowMs();
    const kept = Math.exp((updatedAtMs - now) / DECAY_MS);
    updatedAtMs = now;
    means = means.map(
      (mean, level) => mean * kept + waiting[level]! * (1 - kept),
    );
  }

  return {
    track(priority) {
      update();
      waiting[priority]! += 1;
      means = means.map((mean, level) =>
        level === priority ? mean + SENT_WEIGHT : mean,
      );
      let isWaiting = true;
      return () => {
        if (!isWaiting) return;
        isWaiting = false;
        update();
        waiting[priority]! -= 1;
      };
    },
    readShareAhead(priority) {
      update();
      const ahead = sum(means.slice(0, priority + 1)) + UNKNOWN_WEIGHT;
      return ahead / (sum(means) + UNKNOWN_WEIGHT);
    },
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
