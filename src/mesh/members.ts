/**
 * The processes of the system known to this one. There is no central list: each
 * process starts with a few seed addresses and learns the others from its
 * peers.
 */

import type { MemberRecord } from "../wire/mod.ts";

/**
 * A member that has not been seen for this time expires. Longer than a restart
 * or a short partition, so that the member is dialled again afterwards.
 */
const MIN_EXPIRE_AFTER_MS = 30_000;
/** Only full lists update the last-seen time of members that are not peers. */
const EXPIRE_AFTER_REFRESHES = 3;
/** Shortest interval of the list requests, which repair missed updates. */
const MIN_REFRESH_INTERVAL_MS = 10_000;
/**
 * A record takes 150 bytes, so full lists use at most 1.5 KB/s of a node's
 * control traffic budget of 2 KB/s.
 */
const REFRESH_PER_MEMBER_MS = 100;

export type MemberIdentity = Omit<MemberRecord, "silentMs">;

export interface MemberList {
  list(): readonly MemberIdentity[];
  /** Records that a direct connection to this member is open now. */
  markAlive(host: string): void;
  /** Merges a peer's records; returns hosts that are new or changed address. */
  merge(records: readonly MemberRecord[]): readonly string[];
  /** Removes members that have not been seen for long; true if there were any. */
  removeExpired(): boolean;
  /** Interval of the requests for a full list; longer in a large fleet. */
  refreshIntervalMs(): number;
  /** Records of all members and this process, or only of `hosts` if given. */
  listRecords(hosts?: ReadonlySet<string>): readonly MemberRecord[];
}

interface KnownMember {
  readonly member: MemberIdentity;
  lastSeenAtMs: number;
}

export function createMemberList(
  self: MemberIdentity,
  nowMs: () => number,
): MemberList {
  const knownMembers = new Map<string, KnownMember>();

  function refreshIntervalMs(): number {
    return Math.max(
      MIN_REFRESH_INTERVAL_MS,
      knownMembers.size * REFRESH_PER_MEMBER_MS,
    );
  }

  function expireAfterMs(): number {
    return Math.max(
      MIN_EXPIRE_AFTER_MS,
      refreshIntervalMs() * EXPIRE_AFTER_REFRESHES,
    );
  }

  /** True if the member is new or changed its address. */
  function mergeOne({ silentMs, ...member }: MemberRecord): boolean {
    if (member.host === self.host || silentMs > expireAfterMs()) return false;
    const lastSeenAtMs = nowMs() - silentMs;
    const known = knownMembers.get(member.host);
    if (known === undefined) {
      knownMembers.set(member.host, { member, lastSeenAtMs });
      return true;
    }
    if (lastSeenAtMs <= known.lastSeenAtMs) return false;
    known.lastSeenAtMs = lastSeenAtMs;
    if (known.member.peerAddress === member.peerAddress) return false;
    knownMembers.set(member.host, { member, lastSeenAtMs });
    return true;
  }

  return {
    list: () => [...knownMembers.values()].map(({ member }) => member),
    markAlive(host) {
      const known = knownMembers.get(host);
      if (known !== undefined) known.lastSeenAtMs = nowMs();
    },
    merge: (records) => records.filter(mergeOne).map(({ host }) => host),
    removeExpired() {
      const limitMs = expireAfterMs();
      const expired = [...knownMembers].filter(
        ([, { lastSeenAtMs }]) => nowMs() - lastSeenAtMs > limitMs,
      );
      expired.forEach(([host]) => knownMembers.delete(host));
      return expired.length > 0;
    },
    refreshIntervalMs,
    listRecords: (hosts) =>
      [
        { ...self, silentMs: 0 },
        ...[...knownMembers.values()].map(({ member, lastSeenAtMs }) => ({
          ...member,
          silentMs: Math.max(0, nowMs() - lastSeenAtMs),
        })),
      ].filter(({ host }) => hosts?.has(host) ?? true),
  };
}
