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

export type MemberIdentity = Omit<MemberRecord, "silentMs">;

export interface Members {
  list(): readonly MemberIdentity[];
  /** A direct connection to this member is open now. */
  noteAlive(host: string): void;
  /** Adds what a peer said; true if a member is new or has moved. */
  merge(records: readonly MemberRecord[]): boolean;
  /** Forgets members that have been silent for long; true if any was. */
  expire(): boolean;
  describe(): readonly MemberRecord[];
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

  function mergeOne({ silentMs, ...member }: MemberRecord): boolean {
    if (member.host === self.host || silentMs > FORGET_AFTER_MS) return false;
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
    merge: (records) => records.filter(mergeOne).length > 0,
    expire() {
      const expired = [...entries].filter(
        ([, { aliveAtMs }]) => nowMs() - aliveAtMs > FORGET_AFTER_MS,
      );
      expired.forEach(([host]) => entries.delete(host));
      return expired.length > 0;
    },
    describe: () => [
      { ...self, silentMs: 0 },
      ...[...entries.values()].map(({ member, aliveAtMs }) => ({
        ...member,
        silentMs: Math.max(0, nowMs() - aliveAtMs),
      })),
    ],
  };
}
