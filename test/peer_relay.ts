/**
 * Relays in front of the peer addresses of a test fleet, which can cut the
 * connections between two hosts as a partition does: the connections stay
 * open, but no byte and no closing gets through until it heals.
 */

import { connect, createServer } from "node:net";
import type { Server, Socket } from "node:net";
import type { PlannedHost } from "../bench/fleet_plan.ts";
import { PEER_PORT } from "../bench/fleet_hosts.ts";
import { createFrameDecoder } from "../src/wire/frame.ts";

const RELAY_PORT = 7_100;

export interface PeerRelays {
  /** Cuts one host off these others, in both directions. */
  cut(host: string, others: readonly string[]): void;
  /**
   * Ends all cuts. What was held back arrives then, in order, as TCP sends
   * again what it could not deliver; "lost" connections stay silent instead,
   * as when a device on the way has forgotten them.
   */
  heal(held: "arrives" | "is_lost"): void;
  /** True if bytes with this text are held back. */
  isHeld(text: string): boolean;
  /** Connections that are open between the two hosts. */
  countLinks(host: string, other: string): number;
  close(): Promise<void>;
}

interface Link {
  readonly sockets: readonly Socket[];
  readonly to: string;
  /** Host of the dialler, once its first frame has been read. */
  from?: string;
  isLost: boolean;
  held: Held[];
}

interface Held {
  readonly bytes: Buffer;
  readonly deliver: () => void;
}

const NO_BYTES = Buffer.alloc(0);

/** Address to publish for a host that has a relay. */
export function relayAddress({ ip }: PlannedHost): string {
  return `${ip}:${RELAY_PORT}`;
}

export async function startPeerRelays(
  hosts: readonly PlannedHost[],
): Promise<PeerRelays> {
  const links = new Set<Link>();
  let cuts: readonly (readonly [string, string])[] = [];

  function isCut({ from, to, isLost }: Link): boolean {
    if (from === undefined || isLost) return true;
    return cuts.some((pair) => pair.includes(from) && pair.includes(to));
  }

  function deliverHeld(link: Link) {
    while (!isCut(link) && link.held.length > 0) link.held.shift()!.deliver();
  }

  function forward(link: Link, source: Socket, target: Socket) {
    function hold(held: Held) {
      link.held.push(held);
      deliverHeld(link);
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
          links.delete(link);
        },
      }),
    );
  }

  function startRelay(host: PlannedHost): Promise<Server> {
    const server = createServer((dialled) => {
      const own = connect({ host: host.ip, port: PEER_PORT });
      const link: Link = {
        sockets: [dialled, own],
        to: host.name,
        isLost: false,
        held: [],
      };
      links.add(link);
      readDialler(dialled, (name) => {
        link.from = name;
        deliverHeld(link);
      });
      forward(link, dialled, own);
      forward(link, own, dialled);
    });
    return new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(RELAY_PORT, host.ip, () => resolve(server));
    });
  }

  const servers = await Promise.all(hosts.map(startRelay));
  return {
    cut(host, others) {
      cuts = [...cuts, ...others.map((other) => [host, other] as const)];
    },
    heal(held) {
      if (held === "is_lost") {
        [...links].filter(isCut).forEach((link) => (link.isLost = true));
      }
      cuts = [];
      links.forEach(deliverHeld);
    },
    isHeld: (text) =>
      [...links].some(({ held }) =>
        Buffer.concat(held.map(({ bytes }) => bytes)).includes(text),
      ),
    countLinks: (host, other) =>
      [...links].filter(({ from, to, sockets }) => {
        const isBetween = [from, to].every((n) => n === host || n === other);
        return isBetween && sockets.every((socket) => !socket.destroyed);
      }).length,
    async close() {
      const closed = servers.map(
        (server) => new Promise((resolve) => server.close(resolve)),
      );
      links.forEach(({ sockets }) => sockets.forEach((s) => s.destroy()));
      await Promise.all(closed);
    },
  };
}

/** The dialler's first frame names its host. */
function readDialler(socket: Socket, onName: (name: string) => void) {
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
