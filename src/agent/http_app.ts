/** The agent's HTTP interface: health checks, metrics, status and weights. */

import { Hono } from "hono";
import type { Registry } from "../metrics/mod.ts";
import type { WeightDistributor } from "../weights/mod.ts";

export interface HttpAppOptions {
  readonly weights: WeightDistributor;
  readonly registry: Registry;
  readonly isReady: () => boolean;
  readonly readStatus: () => Readonly<Record<string, unknown>>;
}

export function createHttpApp(options: HttpAppOptions): Hono {
  const { weights, registry, isReady, readStatus } = options;
  const app = new Hono();

  app.get("/healthz", (context) => context.text("ok\n"));
  app.get("/readyz", (context) =>
    isReady() ? context.text("ready\n") : context.text("not ready\n", 503),
  );
  app.get("/metrics", (context) => context.text(registry.render()));
  app.get("/status", (context) => context.json(readStatus()));
  app.get("/v1/weights/:digest/manifest", (context) => {
    const manifest = weights.readManifest(context.req.param("digest"));
    if (manifest === undefined) return context.text("not found\n", 404);
    return context.body(Uint8Array.from(manifest), 200, {
      "content-type": "application/json",
    });
  });
  app.get("/v1/weights/:digest", (context) => {
    const chunks = weights.readChunks(context.req.param("digest"));
    if (chunks === undefined) return context.text("not found\n", 404);
    const sizeBytes = chunks.reduce((sum, chunk) => sum + chunk.length, 0);
    return context.body(streamChunks(chunks), 200, {
      "content-type": "application/octet-stream",
      "content-length": String(sizeBytes),
    });
  });
  return app;
}

/**
 * Streams chunk by chunk, to avoid a copy of the complete weights in memory.
 */
function streamChunks(
  chunks: readonly Uint8Array[],
): ReadableStream<Uint8Array> {
  const iterator = chunks[Symbol.iterator]();
  return new ReadableStream({
    pull(controller) {
      const next = iterator.next();
      if (next.done === true) controller.close();
      else controller.enqueue(next.value);
    },
  });
}
