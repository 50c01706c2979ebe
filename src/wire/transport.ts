/**
 * Opens and accepts peer connections. How a socket is opened is a parameter, so
 * TLS can replace plain TCP without changes to the peer protocol.
 */

import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import { err } from "neverthrow";
import type { Result } from "neverthrow";
import { splitAddress } from "../http/mod.ts";
import { createPeer } from "./peer.ts";
import type { Peer, PeerOptions } from "./peer.ts";

const CONNECT_TIMEOUT_MS = 2_000;

export type TransportOptions = Omit<PeerOptions, "isDialler">;

export interface DialOptions extends TransportOptions {
  readonly openSocket?: (address: string, port: number) => Socket;
}

/** Connects to `address`, given as "IP:port". */
export async function connectPeer(
  address: string,
  options: DialOptions,
): Promise<Result<Peer, string>> {
  const { host: ip, port } = splitAddress(address);
  if (!isPort(port)) return err("bad_address");
  const open = options.openSocket ?? openTcp;
  const socket = open(ip, port);
  const failure = await waitForConnect(socket);
  if (failure !== undefined) {
    socket.destroy();
    return err(failure);
  }
  return createPeer(socket, { ...options, isDialler: true });
}

export interface PeerListener {
  readonly address: string;
  close(): Promise<void>;
}

export interface ListenOptions extends TransportOptions {
  readonly onPeer: (peer: Peer) => void;
}

/** Accepts peers on `address`, given as "IP:port"; port 0 picks a free one. */
export function listenForPeers(
  address: string,
  options: ListenOptions,
): Promise<PeerListener> {
  const { host: ip, port } = splitAddress(address);
  const sockets = new Set<Socket>();
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
    void accept(socket, options);
  });
  return new Promise((resolve, reject) => {
    // Kept after the start, because failures to accept are errors too.
    server.on("error", reject);
    server.listen(port, ip, () => {
      const bound = server.address() as AddressInfo;
      resolve({
        address: `${bound.address}:${bound.port}`,
        close: () =>
          new Promise((done) => {
            server.close(() => done());
            sockets.forEach((socket) => socket.destroy());
          }),
      });
    });
  });
}

async function accept(socket: Socket, options: ListenOptions) {
  const peer = await createPeer(socket, { ...options, isDialler: false });
  if (peer.isOk()) options.onPeer(peer.value);
}

function openTcp(address: string, port: number): Socket {
  return connect({ host: address, port });
}

function waitForConnect(socket: Socket): Promise<string | undefined> {
  return new Promise((resolve) => {
    const timer = setTimeout(
      () => resolve("connect_timeout"),
      CONNECT_TIMEOUT_MS,
    );
    function settle(failure: string | undefined) {
      clearTimeout(timer);
      resolve(failure);
    }
    socket.once("connect", () => settle(undefined));
    socket.once("error", (error: NodeJS.ErrnoException) =>
      settle(error.code ?? "connect_failed"),
    );
  });
}

function isPort(port: number): boolean {
  return Number.isInteger(port) && port > 0 && port < 65_536;
}
