/** Serves a hono app on a loopback address for the stand-ins. */

import { serve } from "@hono/node-server";
import type { Hono } from "hono";
import type { AddressInfo, Socket } from "node:net";

export interface RunningServer {
  /** "IP:port" that the server is bound to. */
  readonly address: string;
  /** Drops every open connection, as a crashed process would. */
  dropConnections(): void;
  close(): Promise<void>;
}

// eslint-disable-next-line @typescript-eslint/no-explicit-any
type AnyHono = Hono<any>;

export function startServer(
  app: AnyHono,
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
