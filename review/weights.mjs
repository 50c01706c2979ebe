/** Pieces of weights and the origin that sends them. */

import { createHash } from "node:crypto";
import { createServer } from "node:http";
import { MODEL } from "./config.mjs";

export const PIECES = 64;
export const PIECE_BYTES = 32768;

export function createPiece(version, index) {
  const seed = createHash("sha256").update(`${version} ${index}`).digest();
  return Buffer.alloc(PIECE_BYTES, seed);
}

/** A sound origin. */
export async function startOrigin(port) {
  const server = createServer((request, response) => {
    request.resume();
    const url = new URL(request.url, "http://origin");
    const version = Number(url.searchParams.get("version"));
    if (url.pathname === `/-/manifest/${MODEL}`) {
      const digests = Array.from({ length: PIECES }, (_, index) =>
        createHash("sha256").update(createPiece(version, index)).digest("hex"),
      );
      response.setHeader("content-type", "application/json");
      return response.end(
        JSON.stringify({
          model: MODEL,
          version,
          "chunk-bytes": PIECE_BYTES,
          layers: 16,
          digests,
        }),
      );
    }
    if (url.pathname === `/-/piece/${MODEL}`) {
      const index = Number(url.searchParams.get("chunk-count"));
      return response.end(createPiece(version, index));
    }
    response.writeHead(404).end();
  });
  await new Promise((resolve) => server.listen(port, "127.0.0.1", resolve));
  return {
    address: `127.0.0.1:${port}`,
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
