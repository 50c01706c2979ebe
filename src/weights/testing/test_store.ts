/** A small model and a rate-limited store whose responses can be replaced. */

import { createHash } from "node:crypto";
import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";

export interface TestModel {
  readonly manifestDigest: string;
  readonly sizeBytes: number;
  readonly manifest: Buffer;
  readonly chunks: ReadonlyMap<string, Buffer>;
}

export function computeDigest(bytes: Uint8Array): string {
  return `sha256:${createHash("sha256").update(bytes).digest("hex")}`;
}

export function createTestModel(
  chunkCount: number,
  chunkBytes: number,
  seed = 1,
): TestModel {
  const chunks = Array.from({ length: chunkCount }, (_, index) => {
    const bytes = Buffer.alloc(chunkBytes, `${seed}/${index};`);
    return { digest: computeDigest(bytes), bytes };
  });
  const manifest = Buffer.from(
    JSON.stringify({
      model: "m",
      version: String(seed),
      size_bytes: chunkCount * chunkBytes,
      chunks: chunks.map(({ digest }) => ({ digest, size_bytes: chunkBytes })),
    }),
  );
  return {
    manifestDigest: computeDigest(manifest),
    sizeBytes: chunkCount * chunkBytes,
    manifest,
    chunks: new Map(chunks.map(({ digest, bytes }) => [digest, bytes])),
  };
}

export interface TestStore {
  readonly url: string;
  readonly sentBytes: () => number;
  /** Number of requests by digest. */
  readonly requests: ReadonlyMap<string, number>;
  close(): Promise<void>;
}

export interface TestStoreOptions {
  readonly models: readonly TestModel[];
  readonly bytesPerS: number;
  /** Returns true if it has responded instead of the store. */
  readonly intercept?: (
    request: IncomingMessage,
    response: ServerResponse,
  ) => boolean;
}

const STORE_PIECE_BYTES = 16 * 1024;

export async function startTestStore(
  options: TestStoreOptions,
): Promise<TestStore> {
  const requests = new Map<string, number>();
  let sentBytes = 0;
  let freeAtMs = 0;
  const server = createServer((request, response) => {
    void answer(request, response);
  });

  async function answer(request: IncomingMessage, response: ServerResponse) {
    const digest = decodeURIComponent(request.url!.split("/").at(-1)!);
    requests.set(digest, (requests.get(digest) ?? 0) + 1);
    if (options.intercept?.(request, response)) return;
    const bytes = options.models
      .map((model) =>
        model.manifestDigest === digest
          ? model.manifest
          : model.chunks.get(digest),
      )
      .find((found) => found !== undefined);
    if (bytes === undefined) return response.writeHead(404).end();
    response.writeHead(200, { "content-length": bytes.length });
    // All responses share one link, piece by piece.
    for (let at = 0; at < bytes.length; at += STORE_PIECE_BYTES) {
      const piece = bytes.subarray(at, at + STORE_PIECE_BYTES);
      const now = performance.now();
      freeAtMs =
        Math.max(now, freeAtMs) + (piece.length / options.bytesPerS) * 1000;
      await new Promise((resolve) => setTimeout(resolve, freeAtMs - now));
      if (response.destroyed) return;
      response.write(piece);
      sentBytes += piece.length;
    }
    response.end();
  }

  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    sentBytes: () => sentBytes,
    requests,
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
}
