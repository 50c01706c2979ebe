/**
 * The base of the entry and the agent: the peer listener, connections to the
 * chosen peers, and a view of the fleet that these keep up to date.
 */

import type { Registry } from "../metrics/mod.ts";
import type { FleetView, Host } from "../membership/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { Notice, Peer, Stream } from "../wire/mod.ts";

export interface NodeIdentity {
  readonly host: string;
  readonly role: "entry" | "agent";
  readonly dataCentre: string;
  /** Service of the agent's endpoint. */
  readonly service?: string;
  /** UUIDv7 generated at process start. */
  readonly incarnation: string;
  readonly startedAtMs: number;
}

export interface Node {
  readonly identity: NodeIdentity;
  readonly view: FleetView;
  readonly registry: Registry;
  readonly logger: Logger;
  /** "IP:port" of the peer listener, as it belongs in the host list. */
  readonly peerAddress: string;
  /** The open connections, at most one for each remote host. */
  peers(): readonly Peer[];
  /** The open connection to this host, if there is one. */
  findPeer(hostName: string): Peer | undefined;
  /** Calls `handler` for each new connection, in either direction. */
  onPeer(handler: (peer: Peer) => void): void;
  /**
   * Adds a function that chooses hosts to connect to, called again on each
   * change of the view. The hosts of all these functions and the gossip
   * neighbours are kept connected.
   */
  addPeerChooser(choose: (view: FleetView) => readonly Host[]): void;
  /** Calls `handler` for each stream of this kind that a peer opens. */
  onStream(
    kind: "request" | "chunk",
    handler: (peer: Peer, stream: Stream) => void,
  ): void;
  onNotice(
    topic: "load" | "have" | "crash",
    handler: (peer: Peer, notice: Notice) => void,
  ): void;
  /**
   * Requests a configuration of at least this version from `peer`. Resolves
   * when it is in force or the peer could not provide it.
   */
  fetchConfig(peer: Peer, version: number): Promise<void>;
  /** True if this host's clock differs too much from those of most peers. */
  isClockSkewed(): boolean;
  /** Raises the lowest version of the configuration that is accepted. */
  raiseConfigFloor(version: number): void;
  /**
   * Calls `handler` once when a later incarnation with this process's host name
   * is detected. This process must then stop and not resume.
   */
  onReplaced?(handler: () => void): void;
  close(): Promise<void>;
}
