/**
 * Pool of connections to endpoints. Each carries one request at a time, and
 * the request owns it until it ends: endpoints can send bytes that belong to
 * no request, and only the owner can detect them.
 */

import { connect } from "node:net";
import type { Socket } from "node:net";
import { err, ok } from "neverthrow";
import type { Result } from "neverthrow";
import { Client } from "undici";
import { splitAddress } from "../http/mod.ts";
import type { Registry } from "../metrics/mod.ts";

/** A connection attempt that takes longer is assumed refused or lost. */
const CONNECT_TIMEOUT_MS = 500;
/** Endpoints may close idle connections sooner than they announce. */
const MAX_IDLE_MS = 4_000;
const MAX_IDLE_PER_ENDPOINT = 24;

export interface EndpointConnection {
  readonly client: Client;
  /**
   * True if the endpoint closed its side cleanly. After a reset bytes may be
   * missing at the end.
   */
  hasClosedCleanly(): boolean;
}

export interface EndpointConnections {
  /**
   * With `needsNewConnection`, opens a connection that no request has used.
   * Fails with the reason if there can be no connection to the address.
   */
  acquire(
    address: string,
    options: { readonly needsNewConnection: boolean },
  ): Result<EndpointConnection, string>;
  /** True if a connection to the address can be opened; closes it at once. */
  isListening(address: string): Promise<boolean>;
  /** Returns a connection after a complete response. */
  release(address: string, connection: EndpointConnection): void;
  close(): Promise<void>;
}

interface IdleConnection {
  readonly connection: EndpointConnection;
  readonly sinceMs: number;
}

export function createEndpointConnections(
  registry: Registry,
): EndpointConnections {
  const idle = new Map<string, IdleConnection[]>();
  const openedCounter = registry.counter(
    "endpoint_connections_total",
    "Connections opened to endpoints",
  );

  function open(address: string): Result<EndpointConnection, string> {
    try {
      return ok(createConnection(address));
    } catch (error) {
      return err(String(error));
    }
  }

  function createConnection(address: string): EndpointConnection {
    let hasEnded = false;
    let hasFailed = false;
    // The client's URL has no port if it is the default one, 80.
    const { host, port } = splitAddress(address);
    const client = new Client(`http://${address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: MAX_IDLE_MS,
      keepAliveMaxTimeout: MAX_IDLE_MS,
      connect: (_, callback) => {
        openedCounter.increment();
        hasEnded = false;
        hasFailed = false;
        openSocket(host, port, (error, socket) => {
          if (socket === undefined) return callback(error!, null);
          socket.on("error", () => (hasFailed = true));
          socket.on("end", () => (hasEnded = !isReset(socket)));
          callback(null, socket);
        });
      },
    });
    return { client, hasClosedCleanly: () => hasEnded && !hasFailed };
  }

  return {
    acquire(address, { needsNewConnection }) {
      const list = idle.get(address) ?? [];
      const now = performance.now();
      while (!needsNewConnection) {
        const found = list.pop();
        if (found === undefined) break;
        if (now - found.sinceMs < MAX_IDLE_MS) return ok(found.connection);
        void found.connection.client.destroy();
      }
      return open(address);
    },
    isListening(address) {
      const { host, port } = splitAddress(address);
      return new Promise((resolve) =>
        openSocket(host, port, (_, socket) => {
          socket?.on("error", () => undefined);
          socket?.destroy();
          resolve(socket !== undefined);
        }),
      );
    },
    release(address, connection) {
      if (connection.client.destroyed) return;
      const list = idle.get(address) ?? [];
      idle.set(address, list);
      list.push({ connection, sinceMs: performance.now() });
      if (list.length <= MAX_IDLE_PER_ENDPOINT) return;
      void list.shift()!.connection.client.destroy();
    },
    async close() {
      const all = [...idle.values()].flat();
      idle.clear();
      await Promise.all(
        all.map(({ connection }) => connection.client.destroy()),
      );
    },
  };
}

/**
 * The event loop reports a reset that arrives together with the last bytes as
 * the end of the data, without an error. A socket that was reset has no peer
 * any more, whereas a socket that received a FIN still has one.
 */
function isReset(socket: Socket): boolean {
  return socket.remoteAddress === undefined;
}

function openSocket(
  host: string,
  port: number,
  callback: (error: Error | undefined, socket?: Socket) => void,
) {
  const socket = connect({ host, port, noDelay: true });
  const timer = setTimeout(
    () => socket.destroy(new Error("connect timeout")),
    CONNECT_TIMEOUT_MS,
  );
  function fail(error: Error) {
    clearTimeout(timer);
    callback(error);
  }
  socket.once("error", fail);
  socket.once("connect", () => {
    clearTimeout(timer);
    socket.off("error", fail);
    callback(undefined, socket);
  });
}
