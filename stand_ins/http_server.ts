/** Serves a Hono app of a stand-in on a loopback address. */

import { serve } from "@hono/node-server";
import type { Hono } from "hono";
import type { AddressInfo, Socket } from "node:net";

export interface RunningServer {
  /** Bound address as "IP:port". */
  readonly address: string;
  /** Destroys every open connection, as the crash of a process does. */
  dropConnections(): void;
  close(): Promise<void>;
}

// eslint-disable-next-line @typescript-eslint/no-explicit-any
type AnyHonoApp = Hono<any>;

export function startServer(
  app: AnyHonoApp,
  address = "127.0.0.1:0",
): Promise<RunningServer> {
  const [hostname, port] = address.split(":") as [string, string];
  const sockets = new Set<Socket>();
  return new Promise((resolve, reject) => {
    const server = serve(
      { fetch: app.fetch, hostname, port: Number(port) },
      (info: AddressInfo) => {
        resolve({
          address: `${hostname}:${info.port}`,
          dropConnections: () => sockets.forEach((s) => s.destroy()),
          close: () =>
            new Promise((done) => {
              server.close(() => done());
              sockets.forEach((socket) => socket.destroy());
            }),
        });
      },
    );
    server.on("error", reject);
    server.on("connection", (socket: Socket) => {
      sockets.add(socket);
      socket.on("close", () => sockets.delete(socket));
    });
  });
}
