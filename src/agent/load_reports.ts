/**
 * Reports load to the connected entries. Changes of phase or version and large
 * changes of load are sent first; small ones are delayed, because each report
 * adds load to every entry.
 */

import type { LoadNotice, Peer } from "../wire/mod.ts";

const MIN_INTERVAL_MS = 250;
const MAX_INTERVAL_MS = 5_000;
/** Minimum interval for small changes of load. */
const MINOR_INTERVAL_MS = 1_000;
/** Change of load, as a share of the limit, that counts as large. */
const MAJOR_CHANGE_SHARE = 0.125;

export type LoadFigures = Omit<LoadNotice, "topic" | "sequence">;

export interface LoadReports {
  /** Sends a report if it is due; called after events and by a timer. */
  update(): void;
  /** Sends the current figures to a newly connected entry. */
  sendTo(peer: Peer): void;
  close(): void;
}

export interface LoadReportsOptions {
  readonly read: () => LoadFigures;
  readonly peers: () => readonly Peer[];
  readonly monotonicMs: () => number;
}

export function createLoadReports(options: LoadReportsOptions): LoadReports {
  const { read, peers, monotonicMs } = options;
  let sequence = 0;
  let lastSent: LoadFigures | undefined;
  let lastSentAtMs = -Infinity;

  function send(figures: LoadFigures) {
    sequence += 1;
    lastSent = figures;
    lastSentAtMs = monotonicMs();
    const notice: LoadNotice = { topic: "load", sequence, ...figures };
    peers()
      .filter(({ hello }) => hello.role === "entry")
      .forEach((peer) => peer.sendNotice(notice));
  }

  function update() {
    const figures = read();
    const sinceLastSentMs = monotonicMs() - lastSentAtMs;
    if (sinceLastSentMs >= computeDelayMs(lastSent, figures)) send(figures);
  }

  const timer = setInterval(update, MIN_INTERVAL_MS);
  timer.unref();
  return {
    update,
    sendTo(peer) {
      if (peer.hello.role !== "entry") return;
      sequence += 1;
      peer.sendNotice({ topic: "load", sequence, ...read() });
    },
    close: () => clearInterval(timer),
  };
}

/** Minimum time between the last report and one with the current figures. */
function computeDelayMs(
  lastSent: LoadFigures | undefined,
  current: LoadFigures,
): number {
  if (lastSent === undefined) return 0;
  if (
    lastSent.phase !== current.phase ||
    lastSent.versionDigest !== current.versionDigest
  ) {
    return MIN_INTERVAL_MS;
  }
  const change =
    Math.abs(lastSent.inFlight - current.inFlight) +
    Math.abs(lastSent.queued - current.queued) +
    Math.abs(lastSent.limit - current.limit);
  if (change === 0) return MAX_INTERVAL_MS;
  const isMajor = change >= Math.max(1, current.limit * MAJOR_CHANGE_SHARE);
  return isMajor ? MIN_INTERVAL_MS : MINOR_INTERVAL_MS;
}
