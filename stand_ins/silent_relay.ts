/**
 * TCP relay whose open connections can go silent: they stay open and carry
 * nothing more, as when a device on the path has lost their state. New
 * connections work.
 */

import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";

export interface SilentRelay {
  /** "IP:port". */
  readonly address: string;
  /** Silences the connections that are open now, for good. */
  silence(): void;
  close(): void;
}

interface RelayedConnection {
  readonly sockets: readonly [Socket, Socket];
  isSilent: boolean;
}

/** `target` is "IP:port". */
export async function startSilentRelay(target: string): Promise<SilentRelay> {
  const [host, port] = target.split(":");
  const connections = new Set<RelayedConnection>();

  function forward(connection: RelayedConnection, from: Socket, to: Socket) {
    const pass = (handle: () => void) => {
      if (!connection.isSilent) handle();
    };
    from.on("data", (bytes: Buffer) => pass(() => to.write(bytes)));
    from.on("end", () => pass(() => to.end()));
    from.on("error", () => pass(() => to.destroy()));
  }

  const server = createServer({ allowHalfOpen: true }, (incoming) => {
    const outgoing = connect({
      host: host!,
      port: Number(port),
      allowHalfOpen: true,
    });
    const sockets: RelayedConnection["sockets"] = [incoming, outgoing];
    const connection: RelayedConnection = { sockets, isSilent: false };
    connections.add(connection);
    forward(connection, incoming, outgoing);
    forward(connection, outgoing, incoming);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    silence: () =>
      connections.forEach((connection) => (connection.isSilent = true)),
    close() {
      server.close();
      connections.forEach(({ sockets }) =>
        sockets.forEach((socket) => socket.destroy()),
      );
    },
  };
}
