/**
 * The processes of the system that this one knows. Nobody lists them: each
 * starts with a few seed addresses and learns the others from its peers.
 */

import type { MemberRecord } from "../wire/mod.ts";

/**
 * A member without a sign of life is forgotten after this time: longer than a
 * restart or a short partition, so that it is dialled again afterwards.
 */
const FORGET_AFTER_MS = 30_000;
/** Signs of life of members that are not peers come with whole lists only. */
const FORGET_AFTER_REFRESHES = 3;
/** Between two questions for a whole list, which heal what was missed. */
const MIN_REFRESH_MS = 10_000;
/**
 * A record takes 150 bytes, so that whole lists take at most 1.5 KB/s of the
 * 2 KB/s that a node may spend on control.
 */
const REFRESH_PER_MEMBER_MS = 100;

export type MemberIdentity = Omit<MemberRecord, "silentMs">;

export interface Members {
  list(): readonly MemberIdentity[];
  /** A direct connection to this member is open now. */
  noteAlive(host: string): void;
  /** Adds what a peer said; returns the hosts that are new or have moved. */
  merge(records: readonly MemberRecord[]): readonly string[];
  /** Forgets members that have been silent for long; true if any was. */
  expire(): boolean;
  /** Time between two questions for a whole list; longer in a large fleet. */
  refreshMs(): number;
  /** Records of all members and this process, or of the given ones. */
  describe(hosts?: ReadonlySet<string>): readonly MemberRecord[];
}

interface Entry {
  readonly member: MemberIdentity;
  aliveAtMs: number;
}

export function createMembers(
  self: MemberIdentity,
  nowMs: () => number,
): Members {
  const entries = new Map<string, Entry>();

  function refreshMs(): number {
    return Math.max(MIN_REFRESH_MS, entries.size * REFRESH_PER_MEMBER_MS);
  }

  function forgetAfterMs(): number {
    return Math.max(FORGET_AFTER_MS, refreshMs() * FORGET_AFTER_REFRESHES);
  }

  /** True if the member is new or has moved. */
  function mergeOne({ silentMs, ...member }: MemberRecord): boolean {
    if (member.host === self.host || silentMs > forgetAfterMs()) return false;
    const aliveAtMs = nowMs() - silentMs;
    const former = entries.get(member.host);
    if (former === undefined) {
      entries.set(member.host, { member, aliveAtMs });
      return true;
    }
    if (aliveAtMs <= former.aliveAtMs) return false;
    former.aliveAtMs = aliveAtMs;
    if (former.member.peerAddress === member.peerAddress) return false;
    entries.set(member.host, { member, aliveAtMs });
    return true;
  }

  return {
    list: () => [...entries.values()].map(({ member }) => member),
    noteAlive(host) {
      const entry = entries.get(host);
      if (entry !== undefined) entry.aliveAtMs = nowMs();
    },
    merge: (records) => records.filter(mergeOne).map(({ host }) => host),
    expire() {
      const limitMs = forgetAfterMs();
      const expired = [...entries].filter(
        ([, { aliveAtMs }]) => nowMs() - aliveAtMs > limitMs,
      );
      expired.forEach(([host]) => entries.delete(host));
      return expired.length > 0;
    },
    refreshMs,
    describe: (hosts) =>
      [
        { ...self, silentMs: 0 },
        ...[...entries.values()].map(({ member, aliveAtMs }) => ({
          ...member,
          silentMs: Math.max(0, nowMs() - aliveAtMs),
        })),
      ].filter(({ host }) => hosts?.has(host) ?? true),
  };
}
