/**
 * The open connections of this process, at most one for each remote host. When
 * two hosts dial each other, both keep the connection dialled by the host with
 * the smaller name; a later incarnation of a host replaces the earlier one's.
 */

import type { Logger } from "../logging/mod.ts";
import type { Peer } from "../wire/mod.ts";
import type { NodeIdentity } from "./node.ts";

/**
 * The other side may open a stream before it sees that a connection is being
 * given up; this is many times the latency between regions.
 */
const RETIRE_GRACE_MS = 1_000;
const RETIRE_CHECK_MS = 250;
/** A retired connection closes after this even if streams are still open. */
const RETIRE_LIMIT_MS = 600_000;

export interface Connections {
  peers(): readonly Peer[];
  find(host: string): Peer | undefined;
  /** True if the listed connection to this host was dialled from here. */
  isDialled(host: string): boolean;
  /** Lists the connection unless a better one to the same host is open. */
  add(peer: Peer, options: { readonly isDialled: boolean }): void;
  /** Gives up a connection once its streams have finished. */
  retire(peer: Peer, reason: string): void;
  /** Runs for each connection that becomes the host's listed one. */
  onPeer(handler: (peer: Peer) => void): void;
  onReplaced(handler: () => void): void;
  noteIncarnation(host: string, incarnation: string): void;
  close(): void;
}

interface Entry {
  readonly peer: Peer;
  readonly isDialled: boolean;
}

export interface ConnectionsOptions {
  readonly identity: NodeIdentity;
  readonly logger: Logger;
}

export function createConnections(options: ConnectionsOptions): Connections {
  const { identity, logger } = options;
  const listed = new Map<string, Entry>();
  const open = new Set<Peer>();
  const peerHandlers: ((peer: Peer) => void)[] = [];
  const replacedHandlers: (() => void)[] = [];
  let isReplaced = false;
  let isClosed = false;

  function list(entry: Entry) {
    const { peer } = entry;
    listed.set(peer.hello.host, entry);
    peerHandlers.forEach((handle) => handle(peer));
  }

  function noteIncarnation(host: string, incarnation: string) {
    const isLater =
      host === identity.host && incarnation > identity.incarnation;
    if (!isLater || isReplaced) return;
    isReplaced = true;
    logger.warn({ incarnation }, "Replaced by a later process of this host");
    replacedHandlers.forEach((handle) => handle());
  }

  function retire(peer: Peer, reason: string) {
    const entry = listed.get(peer.hello.host);
    if (entry?.peer === peer) listed.delete(peer.hello.host);
    const startMs = performance.now();
    const timer = setInterval(() => {
      const ageMs = performance.now() - startMs;
      const isIdle = (peer.openStreams?.() ?? 0) === 0;
      if (ageMs < RETIRE_GRACE_MS) return;
      if (isIdle || ageMs > RETIRE_LIMIT_MS) peer.close(reason);
    }, RETIRE_CHECK_MS);
    void peer.closed.then(() => clearInterval(timer));
  }

  function rejectEarlier(peer: Peer, laterIncarnation: string) {
    peer.sendNotice({
      topic: "replaced",
      host: peer.hello.host,
      incarnation: laterIncarnation,
    });
    retire(peer, "earlier_incarnation");
  }

  /** True if `next` is to be kept rather than `former`, to the same host. */
  function isPreferred(next: Entry, former: Entry): boolean {
    if (next.isDialled === former.isDialled) return true;
    const isSelfSmaller = identity.host < next.peer.hello.host;
    return next.isDialled === isSelfSmaller;
  }

  return {
    peers: () => [...listed.values()].map(({ peer }) => peer),
    find: (host) => listed.get(host)?.peer,
    isDialled: (host) => listed.get(host)?.isDialled ?? false,
    add(peer, { isDialled }) {
      if (isClosed) return peer.close("shutting_down");
      open.add(peer);
      void peer.closed.then(() => {
        open.delete(peer);
        const entry = listed.get(peer.hello.host);
        if (entry?.peer === peer) listed.delete(peer.hello.host);
      });
      const { host, role, incarnation } = peer.hello;
      if (role === "operator" || peer.isClosed()) return;
      noteIncarnation(host, incarnation);
      if (host === identity.host) {
        if (incarnation < identity.incarnation) {
          return rejectEarlier(peer, identity.incarnation);
        }
        return peer.close("own_host");
      }
      const next = { peer, isDialled };
      const former = listed.get(host);
      if (former === undefined) return list(next);
      const formerIncarnation = former.peer.hello.incarnation;
      if (incarnation < formerIncarnation) {
        return rejectEarlier(peer, formerIncarnation);
      }
      if (incarnation > formerIncarnation) {
        list(next);
        return former.peer.close("replaced_by_later_incarnation");
      }
      if (!isPreferred(next, former)) return retire(peer, "duplicate");
      retire(former.peer, "duplicate");
      list(next);
    },
    retire,
    onPeer: (handler) => void peerHandlers.push(handler),
    onReplaced(handler) {
      if (isReplaced) handler();
      else replacedHandlers.push(handler);
    },
    noteIncarnation,
    close() {
      isClosed = true;
      [...open].forEach((peer) => peer.close("shutting_down"));
    },
  };
}
