/** Sends `have` notices, which list the chunks that this agent holds. */

import type { HaveNotice, Peer } from "../wire/mod.ts";

const MIN_INTERVAL_MS = 60;
/** Grows with the number of peers, to bound the traffic of notices. */
const INTERVAL_PER_PEER_MS = 6;
/** A periodic notice makes up for one lost while a connection was replaced. */
const MIN_REFRESH_MS = 10_000;
/**
 * The refresh interval grows with the number of peers, so that the total stays
 * near one notice per second (0.3 to 0.6 KB/s of the 2 KB/s control budget).
 */
const REFRESH_PER_PEER_MS = 1_000;

export interface Announcer {
  /** Sends the current state to all peers, once for calls close together. */
  scheduleAnnouncement(): void;
  /** Sends the current state to one peer immediately. */
  announceTo(peer: Peer): void;
  close(): void;
}

export interface AnnouncerOptions {
  readonly buildNotice: () => HaveNotice;
  readonly listPeers: () => readonly Peer[];
  readonly nowMs: () => number;
}

export function createAnnouncer(options: AnnouncerOptions): Announcer {
  const { buildNotice, listPeers, nowMs } = options;
  let sentAtMs = -Infinity;
  let timer: NodeJS.Timeout | undefined;
  let refreshTimer: NodeJS.Timeout | undefined;
  let isClosed = false;

  function send() {
    clearTimeout(timer);
    timer = undefined;
    if (isClosed) return;
    sentAtMs = nowMs();
    const notice = buildNotice();
    const peers = listPeers();
    peers.forEach((peer) => peer.sendNotice(notice));
    scheduleRefresh(peers.length);
  }

  function scheduleRefresh(peerCount: number) {
    clearTimeout(refreshTimer);
    const delayMs = peerCount * REFRESH_PER_PEER_MS;
    refreshTimer = setTimeout(send, Math.max(MIN_REFRESH_MS, delayMs));
    refreshTimer.unref();
  }

  scheduleRefresh(0);
  return {
    scheduleAnnouncement() {
      if (timer !== undefined) return;
      const intervalMs = Math.max(
        MIN_INTERVAL_MS,
        listPeers().length * INTERVAL_PER_PEER_MS,
      );
      const delayMs = Math.max(0, sentAtMs + intervalMs - nowMs());
      timer = setTimeout(send, delayMs);
    },
    announceTo: (peer) => peer.sendNotice(buildNotice()),
    close() {
      isClosed = true;
      clearTimeout(timer);
      clearTimeout(refreshTimer);
    },
  };
}
