/**
 * Callers: each sends its request to a random entry of its data centre, and a
 * refused one comes back once, to another entry, after the time it was told.
 */

import type { Random } from "../random.ts";
import type { DrawnRequest } from "./draw_requests.ts";
import type { EventQueue } from "./event_queue.ts";

/** Callers wait up to this share of the time that they have left. */
const MAX_WAIT_SHARE = 1 / 3;
const MAX_RETURNS = 1;
const MAX_RETURNS_IMPATIENT = 4;
const IMPATIENT_DELAY_MS = 20;
const MAX_PAUSE_MS = 400;

export type Outcome = "in_time" | "late" | "refused" | "failed";

export interface FinishedCall {
  readonly request: DrawnRequest;
  readonly outcome: Outcome;
  readonly worth: number;
  /** From the first arrival; undefined if it was not served. */
  readonly firstEventMs: number | undefined;
  readonly refusals: number;
}

/** One visit of a caller at an entry; exactly one handler is called. */
export interface Visit {
  readonly request: DrawnRequest;
  readonly deadlineMs: number;
  onServed(firstEventAtMs: number, longestPauseMs: number): void;
  /** Undefined if the caller need not come back. */
  onRefused(retryAfterMs: number | undefined): void;
  onFailed(): void;
}

export interface CallersOptions {
  readonly queue: EventQueue;
  readonly random: Random;
  /** Data centre of each entry. */
  readonly entryDataCentres: readonly number[];
  readonly visit: (entry: number, visit: Visit) => void;
  readonly onFinished: (call: FinishedCall) => void;
}

export function scheduleCalls(
  requests: readonly DrawnRequest[],
  options: CallersOptions,
) {
  const { queue, random, entryDataCentres } = options;

  function pickEntry(dataCentre: number | undefined, except: number): number {
    const all = entryDataCentres.map((_, index) => index);
    const others = all.filter((index) => index !== except);
    const local = others.filter((i) => entryDataCentres[i] === dataCentre);
    const choice = [local, others, all].find(({ length }) => length > 0)!;
    return choice[Math.floor(random() * choice.length)]!;
  }

  function startCall(request: DrawnRequest) {
    const { atMs, route } = request;
    const deadlineMs = atMs + route.deadlineMs;
    const maxReturns = request.isImpatient
      ? MAX_RETURNS_IMPATIENT
      : MAX_RETURNS;
    let refusals = 0;

    function finish(outcome: Outcome, firstEventAtMs?: number) {
      const worth =
        outcome === "in_time"
          ? request.worthInTime
          : outcome === "late"
            ? request.worthLate
            : 0;
      const firstEventMs =
        firstEventAtMs === undefined ? undefined : firstEventAtMs - atMs;
      options.onFinished({ request, outcome, worth, firstEventMs, refusals });
    }

    function visit(entry: number) {
      options.visit(entry, {
        request,
        deadlineMs,
        onServed(firstEventAtMs, longestPauseMs) {
          const isInTime =
            firstEventAtMs - atMs <= route.objectiveMs &&
            longestPauseMs <= MAX_PAUSE_MS;
          finish(isInTime ? "in_time" : "late", firstEventAtMs);
        },
        onRefused(retryAfterMs) {
          refusals += 1;
          const timeLeftMs = deadlineMs - queue.nowMs();
          if (
            retryAfterMs === undefined ||
            refusals > maxReturns ||
            timeLeftMs <= 0
          )
            return finish("refused");
          const toldMs = request.isImpatient
            ? IMPATIENT_DELAY_MS
            : retryAfterMs;
          const delayMs = Math.min(toldMs, timeLeftMs * MAX_WAIT_SHARE);
          queue.schedule(queue.nowMs() + delayMs, () =>
            visit(pickEntry(undefined, entry)),
          );
        },
        onFailed: () => finish("failed"),
      });
    }

    visit(pickEntry(request.dataCentre, -1));
  }

  requests.forEach((request) =>
    queue.schedule(request.atMs, () => startCall(request)),
  );
}
