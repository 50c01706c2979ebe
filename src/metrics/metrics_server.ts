/** Serves the metrics of a process in the Prometheus text format. */

import { createServer } from "node:http";
import { listenAt } from "../http/mod.ts";
import type { Registry } from "./registry.ts";

export interface MetricsServer {
  close(): void;
}

export async function startMetricsServer(
  address: string,
  registry: Registry,
): Promise<MetricsServer> {
  const server = createServer((request, response) => {
    request.resume();
    response.setHeader("content-type", "text/plain; version=0.0.4");
    response.end(registry.render());
  });
  await listenAt(server, address);
  return { close: () => void server.close() };
}
