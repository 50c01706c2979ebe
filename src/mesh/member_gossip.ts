/**
 * Propagates membership between processes. A process sends its own record to
 * each new peer, entries forward new records to their peers, and full member
 * lists are sent on request only. If each process sent its list to all peers
 * on each change, the traffic would grow with the cube of the fleet's size.
 */

import type { Logger } from "../logging/mod.ts";
import type { Handlers } from "../node/handlers.ts";
import type { MembersNotice, Peer } from "../wire/mod.ts";
import type { MemberList } from "./members.ts";

/**
 * An entry delays the announcement of a new member by a random part of this
 * time, and drops it if another entry announces the member in the meantime.
 */
const ANNOUNCE_JITTER_MS = 250;
/** Members that join within this time are announced in one batch. */
const MIN_ANNOUNCE_DELAY_MS = 30;
/**
 * Number of peers asked for a full list after the start. More than one, because
 * peers that start at the same time know few members themselves.
 */
const INITIAL_LIST_REQUESTS = 3;
const EXPIRY_CHECK_INTERVAL_MS = 5_000;
/** Keeps processes that start together from sending requests in step. */
const REFRESH_JITTER = 0.25;
/**
 * About 75 KB of records. A large fleet's list exceeds the frame limit of
 * 256 KB, so it is split over several notices.
 */
const MAX_RECORDS_PER_NOTICE = 500;

export interface MemberGossip {
  onPeer(peer: Peer): void;
  close(): void;
}

export interface MemberGossipOptions {
  readonly selfHost: string;
  readonly role: "entry" | "agent";
  readonly members: MemberList;
  readonly listPeers: () => readonly Peer[];
  readonly handlers: Handlers;
  /** Called when members have been added, changed address or expired. */
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
  let listRequestCount = 0;

  function markPeersAlive() {
    listPeers().forEach(({ hello }) => members.markAlive(hello.host));
  }

  /** Covers all members, or only `hosts` if given. */
  function createNotices(hosts?: ReadonlySet<string>): MembersNotice[] {
    markPeersAlive();
    const records = members.listRecords(hosts);
    const pages = Math.ceil(records.length / MAX_RECORDS_PER_NOTICE);
    return Array.from({ length: pages }, (_, page) => ({
      topic: "members",
      members: records.slice(
        page * MAX_RECORDS_PER_NOTICE,
        (page + 1) * MAX_RECORDS_PER_NOTICE,
      ),
    }));
  }

  function requestList(peer: Peer) {
    listRequestCount += 1;
    peer.sendNotice({ topic: "members_ask" });
  }

  function scheduleAnnouncement() {
    announceTimer ??= setTimeout(
      () => {
        announceTimer = undefined;
        if (unannounced.size === 0) return;
        const notices = createNotices(unannounced);
        unannounced.clear();
        listPeers().forEach((peer) => notices.forEach(peer.sendNotice));
      },
      MIN_ANNOUNCE_DELAY_MS + options.random() * ANNOUNCE_JITTER_MS,
    );
  }

  function mergeMembers(peer: Peer, { members: records }: MembersNotice) {
    const added = members.merge(records);
    const { host: sender, role } = peer.hello;
    // An entry that forwards a record sends it to this process's peers too.
    const isIndirect = (host: string) => role === "entry" && host !== sender;
    records
      .filter(({ host }) => isIndirect(host))
      .forEach(({ host }) => unannounced.delete(host));
    if (added.length === 0) return;
    logger.info({ peer: sender, added }, "learned of members");
    if (options.role === "entry") {
      added
        .filter((host) => !isIndirect(host))
        .forEach((host) => unannounced.add(host));
      scheduleAnnouncement();
    }
    onChange();
  }

  function refresh() {
    const peers = listPeers();
    const entries = peers.filter(({ hello }) => hello.role === "entry");
    const candidates = entries.length > 0 ? entries : peers;
    const chosen = candidates[Math.floor(options.random() * candidates.length)];
    if (chosen !== undefined) requestList(chosen);
    scheduleRefresh();
  }

  function scheduleRefresh() {
    const jitter = 1 + REFRESH_JITTER * (2 * options.random() - 1);
    refreshTimer = setTimeout(refresh, members.refreshIntervalMs() * jitter);
  }

  handlers.onNotice("members", (peer, notice) =>
    mergeMembers(peer, notice as MembersNotice),
  );
  handlers.onNotice("members_ask", (peer) =>
    createNotices().forEach(peer.sendNotice),
  );
  scheduleRefresh();
  const expiryTimer = setInterval(() => {
    markPeersAlive();
    if (members.removeExpired()) onChange();
  }, EXPIRY_CHECK_INTERVAL_MS);

  return {
    onPeer(peer) {
      createNotices(new Set([selfHost])).forEach(peer.sendNotice);
      const isListSource =
        options.role === "entry" || peer.hello.role === "entry";
      if (isListSource && listRequestCount < INITIAL_LIST_REQUESTS)
        requestList(peer);
    },
    close() {
      clearTimeout(announceTimer);
      clearTimeout(refreshTimer);
      clearInterval(expiryTimer);
    },
  };
}
