/**
 * Relays in front of the peer addresses of a test fleet. They simulate network
 * partitions between hosts: connections stay open, but neither data nor the
 * close of a connection is forwarded until the partition heals.
 */

import { connect, createServer } from "node:net";
import type { Server, Socket } from "node:net";
import type { PlannedHost } from "../bench/fleet_plan.ts";
import { PEER_PORT } from "../bench/fleet_hosts.ts";
import { createFrameDecoder } from "../src/wire/frame.ts";

const RELAY_PORT = 7_100;

export interface PeerRelays {
  /** Blocks the traffic between a host and these others in both directions. */
  partition(host: string, others: readonly string[]): void;
  /**
   * Ends all partitions. "deliver" forwards the held data in order, as TCP
   * retransmits it. "drop" keeps the blocked connections silent, as when a
   * network device on the path has lost their state.
   */
  heal(held: "deliver" | "drop"): void;
  /** True if held data contains this text. */
  isHeld(text: string): boolean;
  /** Counts the open connections between the two hosts. */
  countConnections(host: string, other: string): number;
  close(): Promise<void>;
}

interface RelayedConnection {
  readonly sockets: readonly Socket[];
  readonly target: string;
  /** Host that opened the connection, once its first frame has been read. */
  dialler?: string;
  isDropped: boolean;
  held: HeldChunk[];
}

interface HeldChunk {
  readonly bytes: Buffer;
  readonly deliver: () => void;
}

const NO_BYTES = Buffer.alloc(0);

/** Peer address to publish for a host that has a relay. */
export function relayAddress({ ip }: PlannedHost): string {
  return `${ip}:${RELAY_PORT}`;
}

export async function startPeerRelays(
  hosts: readonly PlannedHost[],
): Promise<PeerRelays> {
  const connections = new Set<RelayedConnection>();
  let partitions: readonly (readonly [string, string])[] = [];

  function isBlocked({
    dialler,
    target,
    isDropped,
  }: RelayedConnection): boolean {
    if (dialler === undefined || isDropped) return true;
    return partitions.some(
      (pair) => pair.includes(dialler) && pair.includes(target),
    );
  }

  function deliverHeld(connection: RelayedConnection) {
    while (!isBlocked(connection) && connection.held.length > 0)
      connection.held.shift()!.deliver();
  }

  function forward(
    connection: RelayedConnection,
    source: Socket,
    target: Socket,
  ) {
    function hold(held: HeldChunk) {
      connection.held.push(held);
      deliverHeld(connection);
    }
    source.on("data", (bytes: Buffer) =>
      hold({ bytes, deliver: () => void target.write(bytes) }),
    );
    source.on("error", () => undefined);
    source.on("close", () =>
      hold({
        bytes: NO_BYTES,
        deliver() {
          target.destroy();
          connections.delete(connection);
        },
      }),
    );
  }

  function startRelay(host: PlannedHost): Promise<Server> {
    const server = createServer((incoming) => {
      const outgoing = connect({ host: host.ip, port: PEER_PORT });
      const connection: RelayedConnection = {
        sockets: [incoming, outgoing],
        target: host.name,
        isDropped: false,
        held: [],
      };
      connections.add(connection);
      readDiallerHost(incoming, (name) => {
        connection.dialler = name;
        deliverHeld(connection);
      });
      forward(connection, incoming, outgoing);
      forward(connection, outgoing, incoming);
    });
    return new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(RELAY_PORT, host.ip, () => resolve(server));
    });
  }

  const servers = await Promise.all(hosts.map(startRelay));
  return {
    partition(host, others) {
      partitions = [
        ...partitions,
        ...others.map((other) => [host, other] as const),
      ];
    },
    heal(held) {
      if (held === "drop") {
        [...connections]
          .filter(isBlocked)
          .forEach((connection) => (connection.isDropped = true));
      }
      partitions = [];
      connections.forEach(deliverHeld);
    },
    isHeld: (text) =>
      [...connections].some(({ held }) =>
        Buffer.concat(held.map(({ bytes }) => bytes)).includes(text),
      ),
    countConnections: (host, other) =>
      [...connections].filter(({ dialler, target, sockets }) => {
        const isBetween = [dialler, target].every(
          (n) => n === host || n === other,
        );
        return isBetween && sockets.every((socket) => !socket.destroyed);
      }).length,
    async close() {
      const closed = servers.map(
        (server) => new Promise((resolve) => server.close(resolve)),
      );
      connections.forEach(({ sockets }) => sockets.forEach((s) => s.destroy()));
      await Promise.all(closed);
    },
  };
}

/** Reads the dialling host's name from the first frame of a connection. */
function readDiallerHost(socket: Socket, onName: (name: string) => void) {
  const decoder = createFrameDecoder();
  function onData(bytes: Buffer) {
    const [first] = decoder.push(bytes).unwrapOr([]);
    if (first === undefined) return;
    socket.off("data", onData);
    if (first.type !== "hello") return;
    onName((first.hello as { host: string }).host);
  }
  socket.on("data", onData);
}
