/**
 * How processes tell each other who is there. A process says who it is to each
 * peer; entries pass on what is new, and whole lists are sent to those alone
 * that ask. Were each process to send its list to all peers with each change,
 * the bytes would grow with the third power of the fleet's size.
 */

import type { Logger } from "../logging/mod.ts";
import type { Handlers } from "../node/handlers.ts";
import type { MembersNotice, Peer } from "../wire/mod.ts";
import type { Members } from "./members.ts";

/**
 * Entries wait for a random part of this time before they pass on a new
 * member. One that hears of it from another entry meanwhile stays silent.
 */
const ANNOUNCE_SPREAD_MS = 250;
/** Joins that come close together are passed on together. */
const MIN_ANNOUNCE_MS = 30;
/** Whole lists after the start; more than one, as peers start together. */
const INITIAL_ASKS = 3;
const EXPIRE_CHECK_MS = 5_000;
/** Processes that start together must not ask at the same moments. */
const REFRESH_JITTER = 0.25;
/** 75 KB of records; frames hold 256 KB, fewer than a large fleet's list. */
const MAX_RECORDS_PER_NOTICE = 500;

export interface MemberGossip {
  onPeer(peer: Peer): void;
  close(): void;
}

export interface MemberGossipOptions {
  readonly selfHost: string;
  readonly role: "entry" | "agent";
  readonly members: Members;
  readonly listPeers: () => readonly Peer[];
  readonly handlers: Handlers;
  /** Runs when members are new, have moved or are forgotten. */
  readonly onChange: () => void;
  readonly logger: Logger;
  /** In [0, 1). */
  readonly random: () => number;
}

export function startMemberGossip(options: MemberGossipOptions): MemberGossip {
  const { selfHost, members, listPeers, handlers, onChange, logger } = options;
  const unannounced = new Set<string>();
  let announceTimer: NodeJS.Timeout | undefined;
  let refreshTimer: NodeJS.Timeout | undefined;
  let asks = 0;

  function noteConnected() {
    listPeers().forEach(({ hello }) => members.noteAlive(hello.host));
  }

  /** Of all members, or of the given ones. */
  function createNotices(hosts?: ReadonlySet<string>): MembersNotice[] {
    noteConnected();
    const records = members.describe(hosts);
    const pages = Math.ceil(records.length / MAX_RECORDS_PER_NOTICE);
    return Array.from({ length: pages }, (_, page) => ({
      topic: "members",
      members: records.slice(
        page * MAX_RECORDS_PER_NOTICE,
        (page + 1) * MAX_RECORDS_PER_NOTICE,
      ),
    }));
  }

  function ask(peer: Peer) {
    asks += 1;
    peer.sendNotice({ topic: "members_ask" });
  }

  function announceSoon() {
    announceTimer ??= setTimeout(
      () => {
        announceTimer = undefined;
        if (unannounced.size === 0) return;
        const notices = createNotices(unannounced);
        unannounced.clear();
        listPeers().forEach((peer) => notices.forEach(peer.sendNotice));
      },
      MIN_ANNOUNCE_MS + options.random() * ANNOUNCE_SPREAD_MS,
    );
  }

  function onMembers(peer: Peer, { members: records }: MembersNotice) {
    const added = members.merge(records);
    const { host: sender, role } = peer.hello;
    // An entry that passes on a member tells this one's peers too.
    const isHearsay = (host: string) => role === "entry" && host !== sender;
    records
      .filter(({ host }) => isHearsay(host))
      .forEach(({ host }) => unannounced.delete(host));
    if (added.length === 0) return;
    logger.info({ peer: sender, added }, "heard of members");
    if (options.role === "entry") {
      added
        .filter((host) => !isHearsay(host))
        .forEach((host) => unannounced.add(host));
      announceSoon();
    }
    onChange();
  }

  function refresh() {
    const peers = listPeers();
    const entries = peers.filter(({ hello }) => hello.role === "entry");
    const candidates = entries.length > 0 ? entries : peers;
    const chosen = candidates[Math.floor(options.random() * candidates.length)];
    if (chosen !== undefined) ask(chosen);
    scheduleRefresh();
  }

  function scheduleRefresh() {
    const jitter = 1 + REFRESH_JITTER * (2 * options.random() - 1);
    refreshTimer = setTimeout(refresh, members.refreshMs() * jitter);
  }

  handlers.onNotice("members", (peer, notice) =>
    onMembers(peer, notice as MembersNotice),
  );
  handlers.onNotice("members_ask", (peer) =>
    createNotices().forEach(peer.sendNotice),
  );
  scheduleRefresh();
  const expireTimer = setInterval(() => {
    noteConnected();
    if (members.expire()) onChange();
  }, EXPIRE_CHECK_MS);

  return {
    onPeer(peer) {
      createNotices(new Set([selfHost])).forEach(peer.sendNotice);
      const isUseful = options.role === "entry" || peer.hello.role === "entry";
      if (isUseful && asks < INITIAL_ASKS) ask(peer);
    },
    close() {
      clearTimeout(announceTimer);
      clearTimeout(refreshTimer);
      clearInterval(expireTimer);
    },
  };
}
