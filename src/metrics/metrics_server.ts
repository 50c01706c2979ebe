/** Serves the metrics of a process in the Prometheus text format. */

import { createServer } from "node:http";
import type { Registry } from "./registry.ts";

export interface MetricsServer {
  close(): void;
}

export function startMetricsServer(
  address: string,
  registry: Registry,
): Promise<MetricsServer> {
  const colonIndex = address.lastIndexOf(":");
  const server = createServer((request, response) => {
    request.resume();
    response.setHeader("content-type", "text/plain; version=0.0.4");
    response.end(registry.render());
  });
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(
      Number(address.slice(colonIndex + 1)),
      address.slice(0, colonIndex),
      () => resolve({ close: () => void server.close() }),
    );
  });
}
