/**
 * Finds free ports for processes whose address must be known in advance. Each
 * port is reserved until this process ends by a listener at another loopback
 * address, so that test runs on one machine never get the same port.
 */

import { createServer } from "node:net";

/**
 * Below the ephemeral port range of the operating system. A free port in that
 * range could be assigned to a connection before a process listens on it.
 */
const FIRST_PORT = 20_000;
const PORT_COUNT = 12_000;
const LISTEN_ADDRESS = "127.0.0.1";
const RESERVATION_ADDRESS = "127.255.255.254";

let nextOffset = Math.floor(Math.random() * PORT_COUNT);

export async function findFreePorts(count: number): Promise<readonly number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = FIRST_PORT + nextOffset;
    nextOffset = (nextOffset + 1) % PORT_COUNT;
    if ((await reserve(port)) && (await isFree(port))) ports.push(port);
  }
  return ports;
}

function reserve(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, RESERVATION_ADDRESS, () => {
      server.unref();
      resolve(true);
    });
  });
}

function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, LISTEN_ADDRESS, () =>
      server.close(() => resolve(true)),
    );
  });
}
