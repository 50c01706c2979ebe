/** Finds free ports for processes whose address must be known in advance. */

import { createServer } from "node:net";

/**
 * Below the ephemeral port range of the operating system. A free port in that
 * range could be assigned to another test before its process listens on it.
 */
const FIRST_PORT = 20_000;
const PORTS_PER_WORKER = 1_000;
const firstPort =
  FIRST_PORT + Number(process.env["JEST_WORKER_ID"] ?? 0) * PORTS_PER_WORKER;
let usedPorts = 0;

export async function findFreePorts(count: number): Promise<readonly number[]> {
  const ports: number[] = [];
  while (ports.length < count) {
    const port = firstPort + (usedPorts % PORTS_PER_WORKER);
    usedPorts += 1;
    if (await isFree(port)) ports.push(port);
  }
  return ports;
}

function isFree(port: number): Promise<boolean> {
  const server = createServer();
  return new Promise((resolve) => {
    server.once("error", () => resolve(false));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
  });
}
