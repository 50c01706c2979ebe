/**
 * What the entry and the agent share: the peer listener, connections to chosen
 * peers, and the view of the fleet kept up to date through them.
 */

import type { Registry } from "../metrics/mod.ts";
import type { FleetView, Host } from "../membership/mod.ts";
import type { Logger } from "../logging/mod.ts";
import type { Notice, Peer, Stream } from "../wire/mod.ts";

export interface NodeIdentity {
  readonly host: string;
  readonly role: "entry" | "agent";
  readonly dataCentre: string;
  /** Service of the endpoint beside an agent. */
  readonly service?: string;
  /** UUIDv7 made at process start. */
  readonly incarnation: string;
  readonly startedAtMs: number;
}

export interface Node {
  readonly identity: NodeIdentity;
  readonly view: FleetView;
  readonly registry: Registry;
  readonly logger: Logger;
  /** "IP:port" of the peer listener, as the host list should give it. */
  readonly peerAddress: string;
  /** Open connections, at most one for each remote host. */
  peers(): readonly Peer[];
  /** The open connection to this host, if there is one. */
  findPeer(hostName: string): Peer | undefined;
  /** Runs for each new connection, whoever dialled. */
  onPeer(handler: (peer: Peer) => void): void;
  /**
   * Adds hosts to connect to. Called again on each change of the view; the
   * union of all choosers and the gossip neighbours stays connected.
   */
  addPeerChooser(choose: (view: FleetView) => readonly Host[]): void;
  /** Runs for each stream of this kind that a peer opens. */
  onStream(
    kind: "request" | "chunk",
    handler: (peer: Peer, stream: Stream) => void,
  ): void;
  onNotice(
    topic: "load" | "have" | "crash",
    handler: (peer: Peer, notice: Notice) => void,
  ): void;
  /**
   * Makes sure that a configuration at least this new has been asked for from
   * `peer`, and resolves when it is in force or the peer could not give it.
   */
  fetchConfig(peer: Peer, version: number): Promise<void>;
  /** True if the clocks of most peers differ too much from this one's. */
  isClockSkewed(): boolean;
  /** A floor below which no configuration is accepted. */
  raiseConfigFloor(version: number): void;
  /**
   * Runs once when a later incarnation of this process's host name has been
   * seen; this process must then stop for good.
   */
  onReplaced?(handler: () => void): void;
  close(): Promise<void>;
}
