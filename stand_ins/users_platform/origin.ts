/** Stand-in for the weight origin; it can send corrupt chunks or refuse calls. */

import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { createChunk, listDigests } from "./model_weights.ts";
import type { ModelSpec } from "./model_weights.ts";

export interface OriginStandIn {
  readonly address: string;
  readonly faults: { isDown: boolean; corruptShare: number };
  sentChunks(): number;
  close(): void;
}

export async function startOrigin(model: ModelSpec): Promise<OriginStandIn> {
  const faults = { isDown: false, corruptShare: 0 };
  let sentChunks = 0;
  const server = createServer((request, response) => {
    const url = new URL(request.url ?? "/", "http://origin");
    const version = Number(url.searchParams.get("version"));
    if (faults.isDown) return response.writeHead(503).end();
    if (url.pathname === `/-/manifest/${model.name}`) {
      const digests = listDigests(model, version);
      return response.end(
        JSON.stringify({
          model: model.name,
          version,
          "chunk-bytes": model.chunkBytes,
          layers: 16,
          digests,
        }),
      );
    }
    const index = Number(url.searchParams.get("chunk-count"));
    const bytes = createChunk(model, version, index);
    sentChunks += 1;
    if (Math.random() < faults.corruptShare) bytes[0]! ^= 0xff;
    response.end(bytes);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    faults,
    sentChunks: () => sentChunks,
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
