/** Tells other agents which chunks this one holds. */

import type { HaveNotice, Peer } from "../wire/mod.ts";

const MIN_INTERVAL_MS = 100;
/** With many peers the interval grows, so that notices stay a small load. */
const INTERVAL_PER_PEER_MS = 10;
/** Repairs a view that missed a notice while a connection was replaced. */
const REFRESH_MS = 10_000;

export interface Announcer {
  /** Sends the current state to all peers, soon. */
  onChange(): void;
  /** Sends the current state to a new peer, at once. */
  greet(peer: Peer): void;
  close(): void;
}

export interface AnnouncerOptions {
  readonly readNotice: () => HaveNotice;
  readonly listPeers: () => readonly Peer[];
  readonly nowMs: () => number;
}

export function createAnnouncer(options: AnnouncerOptions): Announcer {
  const { readNotice, listPeers, nowMs } = options;
  let sentAtMs = -Infinity;
  let timer: NodeJS.Timeout | undefined;

  function send() {
    clearTimeout(timer);
    timer = undefined;
    sentAtMs = nowMs();
    const notice = readNotice();
    listPeers().forEach((peer) => peer.sendNotice(notice));
  }

  const refreshTimer = setInterval(send, REFRESH_MS);
  refreshTimer.unref();

  return {
    onChange() {
      if (timer !== undefined) return;
      const intervalMs = Math.max(
        MIN_INTERVAL_MS,
        listPeers().length * INTERVAL_PER_PEER_MS,
      );
      const delayMs = Math.max(0, sentAtMs + intervalMs - nowMs());
      timer = setTimeout(send, delayMs);
    },
    greet: (peer) => peer.sendNotice(readNotice()),
    close() {
      clearTimeout(timer);
      clearInterval(refreshTimer);
    },
  };
}
