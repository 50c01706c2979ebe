/**
 * Reports load to the connected entries. Changes of phase or version and large
 * changes of load leave first; small ones wait, because each report costs every
 * entry.
 */

import type { LoadNotice, Peer } from "../wire/mod.ts";

const MIN_INTERVAL_MS = 250;
const MAX_INTERVAL_MS = 5_000;
/** Small changes of load are reported after this time. */
const MINOR_INTERVAL_MS = 1_000;
/** Share of the limit by which the load must change to be reported early. */
const MAJOR_SHARE = 0.125;

export type LoadFigures = Omit<LoadNotice, "topic" | "sequence">;

export interface LoadReports {
  /** Looks for a change; called after events and by a timer. */
  update(): void;
  /** Sends the current figures to a new peer. */
  greet(peer: Peer): void;
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
  let sent: LoadFigures | undefined;
  let sentAtMs = -Infinity;

  function send(figures: LoadFigures) {
    sequence += 1;
    sent = figures;
    sentAtMs = monotonicMs();
    const notice: LoadNotice = { topic: "load", sequence, ...figures };
    peers()
      .filter(({ hello }) => hello.role === "entry")
      .forEach((peer) => peer.sendNotice(notice));
  }

  function update() {
    const figures = read();
    const silentMs = monotonicMs() - sentAtMs;
    if (silentMs >= readDelayMs(sent, figures)) send(figures);
  }

  const timer = setInterval(update, MIN_INTERVAL_MS);
  timer.unref();
  return {
    update,
    greet(peer) {
      if (peer.hello.role !== "entry") return;
      sequence += 1;
      peer.sendNotice({ topic: "load", sequence, ...read() });
    },
    close: () => clearInterval(timer),
  };
}

/** How long after the last report these figures may wait. */
function readDelayMs(sent: LoadFigures | undefined, now: LoadFigures): number {
  if (sent === undefined) return 0;
  if (sent.phase !== now.phase || sent.versionDigest !== now.versionDigest) {
    return MIN_INTERVAL_MS;
  }
  const change =
    Math.abs(sent.inFlight - now.inFlight) +
    Math.abs(sent.queued - now.queued) +
    Math.abs(sent.limit - now.limit);
  if (change === 0) return MAX_INTERVAL_MS;
  const isMajor = change >= Math.max(1, now.limit * MAJOR_SHARE);
  return isMajor ? MIN_INTERVAL_MS : MINOR_INTERVAL_MS;
}
