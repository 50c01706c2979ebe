/**
 * Propagates membership between processes. A process sends its own record to
 * each new peer. Entries forward records that are new to them, once and in
 * batches, to the entries that they are connected to and to the agents that
 * subscribe at them; full member lists are sent on request only. If each
 * process sent its list to all peers on each change, the traffic would grow
 * with the cube of the fleet's size.
 */

import type { Logger } from "../logging/mod.ts";
import type { Handlers } from "../node/handlers.ts";
import type { MembersNotice, Peer } from "../wire/mod.ts";
import type { MemberList } from "./members.ts";

/**
 * An entry delays the announcement of a new member by a random part of this
 * time, and skips the peers from which it hears of the member in the meantime.
 */
const ANNOUNCE_JITTER_MS = 250;
/**
 * Number of entries that have announced a member after which this entry does
 * not announce it to entries. Not one, as entries are connected to only a few
 * others.
 */
const ENOUGH_ANNOUNCEMENTS = 3;
/** Members that join within this time are announced in one batch. */
const MIN_ANNOUNCE_DELAY_MS = 30;
/**
 * Number of peers asked for a full list after the start. More than one, because
 * peers that start at the same time know few members themselves.
 */
const INITIAL_LIST_REQUESTS = 3;
/** Without a list after this time, no other entry can be reached. */
const ALONE_AFTER_MS = 3_000;
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
  /** True once an entry has sent its list, or none could be found. */
  hasList(): boolean;
  close(): void;
}

export interface MemberGossipOptions {
  readonly selfHost: string;
  readonly role: "entry" | "agent";
  readonly members: MemberList;
  readonly listPeers: () => readonly Peer[];
  /** Agents that rely on this entry for news of members. */
  readonly listSubscribers: () => readonly Peer[];
  readonly handlers: Handlers;
  /** Called when members have been added, changed address or expired. */
  readonly onChange: () => void;
  readonly logger: Logger;
  /** In [0, 1). */
  readonly random: () => number;
}

export function startMemberGossip(options: MemberGossipOptions): MemberGossip {
  const { selfHost, members, listPeers, handlers, onChange, logger } = options;
  /** New members, and the peers from which this process heard of each. */
  const unannounced = new Map<string, Set<string>>();
  let announceTimer: NodeJS.Timeout | undefined;
  let refreshTimer: NodeJS.Timeout | undefined;
  let listRequestCount = 0;
  let hasList = false;
  const aloneTimer = setTimeout(() => (hasList = true), ALONE_AFTER_MS);

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
        const announced = new Map(unannounced);
        unannounced.clear();
        announce(announced);
      },
      MIN_ANNOUNCE_DELAY_MS + options.random() * ANNOUNCE_JITTER_MS,
    );
  }

  function announce(announced: ReadonlyMap<string, ReadonlySet<string>>) {
    const select = (isWanted: (heardFrom: ReadonlySet<string>) => boolean) =>
      new Set(
        [...announced]
          .filter(([, heardFrom]) => isWanted(heardFrom))
          .map(([host]) => host),
      );
    const all = createNotices(select(() => true));
    options.listSubscribers().forEach((agent) => all.forEach(agent.sendNotice));
    listPeers()
      .filter(({ hello }) => hello.role === "entry")
      .forEach((entry) => {
        const hosts = select(
          (heardFrom) =>
            heardFrom.size < ENOUGH_ANNOUNCEMENTS &&
            !heardFrom.has(entry.hello.host),
        );
        const notices =
          hosts.size === announced.size ? all : createNotices(hosts);
        notices.forEach(entry.sendNotice);
      });
  }

  function mergeMembers(peer: Peer, { members: records }: MembersNotice) {
    const added = members.merge(records);
    const { host: sender, role } = peer.hello;
    // A new peer's own record is not a list.
    hasList ||= role === "entry" && records.length > 1;
    if (options.role === "entry") {
      added.forEach((host) => unannounced.set(host, new Set()));
      // An agent that sends its own record does not announce it to others.
      if (role === "entry") {
        records.forEach(({ host }) => unannounced.get(host)?.add(sender));
      }
      if (added.length > 0) scheduleAnnouncement();
    }
    if (added.length === 0) return;
    logger.info({ peer: sender, added }, "learned of members");
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
        options.role === "entry" ||
        peer.hello.role === "entry" ||
        // Without an entry, other agents are the only ones that can tell.
        !listPeers().some(({ hello }) => hello.role === "entry");
      if (isListSource && listRequestCount < INITIAL_LIST_REQUESTS)
        requestList(peer);
    },
    hasList: () => hasList,
    close() {
      clearTimeout(aloneTimer);
      clearTimeout(announceTimer);
      clearTimeout(refreshTimer);
      clearInterval(expiryTimer);
    },
  };
}
