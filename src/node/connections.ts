/**
 * The open connections of this process, with at most one current connection for
 * each remote host. When two hosts dial each other, both keep the connection
 * dialled by the host with the smaller name. A connection of a later incarnation
 * replaces that of an earlier one.
 */

import type { Logger } from "../logging/mod.ts";
import type { Peer } from "../wire/mod.ts";
import type { NodeIdentity } from "./node.ts";

/**
 * The peer may still open streams on a connection before it learns that the
 * connection is draining. This time is many times the latency between regions.
 */
const MIN_DRAIN_MS = 1_000;
const DRAIN_CHECK_INTERVAL_MS = 250;
/** A draining connection closes after this time even with open streams. */
const MAX_DRAIN_MS = 600_000;

export interface Connections {
  peers(): readonly Peer[];
  find(host: string): Peer | undefined;
  /** True if this process dialled the current connection to the host. */
  isDialled(host: string): boolean;
  /** Makes the connection current unless a preferred one to its host is open. */
  add(peer: Peer, options: { readonly isDialled: boolean }): void;
  /** Stops using the connection and closes it once its streams have finished. */
  drain(peer: Peer, reason: string): void;
  /** Calls `handler` for each connection that becomes a host's current one. */
  onPeer(handler: (peer: Peer) => void): void;
  onReplaced(handler: () => void): void;
  checkIncarnation(host: string, incarnation: string): void;
  close(): void;
}

interface Connection {
  readonly peer: Peer;
  readonly isDialled: boolean;
}

export interface ConnectionsOptions {
  readonly identity: NodeIdentity;
  readonly logger: Logger;
}

export function createConnections(options: ConnectionsOptions): Connections {
  const { identity, logger } = options;
  const currentByHost = new Map<string, Connection>();
  const openPeers = new Set<Peer>();
  const peerHandlers: ((peer: Peer) => void)[] = [];
  const replacedHandlers: (() => void)[] = [];
  let isReplaced = false;
  let isClosed = false;

  function setCurrent(connection: Connection) {
    const { peer } = connection;
    currentByHost.set(peer.hello.host, connection);
    peerHandlers.forEach((handle) => handle(peer));
  }

  function checkIncarnation(host: string, incarnation: string) {
    const isLater =
      host === identity.host && incarnation > identity.incarnation;
    if (!isLater || isReplaced) return;
    isReplaced = true;
    logger.warn(
      { incarnation },
      "Replaced by a later incarnation of this host",
    );
    replacedHandlers.forEach((handle) => handle());
  }

  function drain(peer: Peer, reason: string) {
    const connection = currentByHost.get(peer.hello.host);
    if (connection?.peer === peer) currentByHost.delete(peer.hello.host);
    const startMs = performance.now();
    const timer = setInterval(() => {
      const ageMs = performance.now() - startMs;
      const isIdle = (peer.openStreams?.() ?? 0) === 0;
      if (ageMs < MIN_DRAIN_MS) return;
      if (isIdle || ageMs > MAX_DRAIN_MS) peer.close(reason);
    }, DRAIN_CHECK_INTERVAL_MS);
    void peer.closed.then(() => clearInterval(timer));
  }

  function rejectEarlierIncarnation(peer: Peer, laterIncarnation: string) {
    peer.sendNotice({
      topic: "replaced",
      host: peer.hello.host,
      incarnation: laterIncarnation,
    });
    drain(peer, "earlier_incarnation");
  }

  /** True if `next` should replace `existing`, a connection to the same host. */
  function isPreferred(next: Connection, existing: Connection): boolean {
    if (next.isDialled === existing.isDialled) return true;
    const isLocalNameSmaller = identity.host < next.peer.hello.host;
    return next.isDialled === isLocalNameSmaller;
  }

  return {
    peers: () => [...currentByHost.values()].map(({ peer }) => peer),
    find: (host) => currentByHost.get(host)?.peer,
    isDialled: (host) => currentByHost.get(host)?.isDialled ?? false,
    add(peer, { isDialled }) {
      if (isClosed) return peer.close("shutting_down");
      openPeers.add(peer);
      void peer.closed.then(() => {
        openPeers.delete(peer);
        const connection = currentByHost.get(peer.hello.host);
        if (connection?.peer === peer) currentByHost.delete(peer.hello.host);
      });
      const { host, role, incarnation } = peer.hello;
      if (role === "operator" || peer.isClosed()) return;
      checkIncarnation(host, incarnation);
      if (host === identity.host) {
        if (incarnation < identity.incarnation) {
          return rejectEarlierIncarnation(peer, identity.incarnation);
        }
        return peer.close("own_host");
      }
      const next = { peer, isDialled };
      const existing = currentByHost.get(host);
      if (existing === undefined) return setCurrent(next);
      const existingIncarnation = existing.peer.hello.incarnation;
      if (incarnation < existingIncarnation) {
        return rejectEarlierIncarnation(peer, existingIncarnation);
      }
      if (incarnation > existingIncarnation) {
        setCurrent(next);
        return existing.peer.close("replaced_by_later_incarnation");
      }
      if (!isPreferred(next, existing)) return drain(peer, "duplicate");
      drain(existing.peer, "duplicate");
      setCurrent(next);
    },
    drain,
    onPeer: (handler) => void peerHandlers.push(handler),
    onReplaced(handler) {
      if (isReplaced) handler();
      else replacedHandlers.push(handler);
    },
    checkIncarnation,
    close() {
      isClosed = true;
      [...openPeers].forEach((peer) => peer.close("shutting_down"));
    },
  };
}
