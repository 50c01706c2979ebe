/**
 * Stand-in for the weight store and its origin. All readers share one
 * rate-limited link, and the bytes sent are counted.
 */

import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import { Hono } from "hono";
import type { HttpBindings } from "@hono/node-server";
import type { ServerResponse } from "node:http";
import { startServer } from "./http_server.ts";
import type { ModelFiles } from "./model_files.ts";
import { createRateLimiter } from "./rate_limiter.ts";

const WRITE_BYTES = 16 * 1024;

export interface WeightStoreOptions {
  readonly address?: string;
  readonly mbitPerS: number;
  readonly files: readonly ModelFiles[];
}

export async function startWeightStore(options: WeightStoreOptions) {
  const limiter = createRateLimiter(options.mbitPerS);
  let isDown = false;
  let sentBytes = 0;
  let chunkReads = 0;
  const app = new Hono<{ Bindings: HttpBindings }>();

  async function sendRateLimited(response: ServerResponse, bytes: Buffer) {
    response.writeHead(200, { "content-length": bytes.length });
    for (let at = 0; at < bytes.length; at += WRITE_BYTES) {
      const part = bytes.subarray(at, at + WRITE_BYTES);
      await limiter.take(part.length);
      if (isDown || response.destroyed) return response.destroy();
      sentBytes += part.length;
      response.write(part);
    }
    response.end();
  }

  app.get("/v1/manifests/:digest", (c) => {
    const digest = c.req.param("digest");
    const found = options.files.find((f) => f.manifestDigest === digest);
    if (isDown) return c.text("Unavailable", 503);
    if (found === undefined) return c.text("Not found", 404);
    return c.body(new Uint8Array(found.manifest));
  });
  app.get("/v1/chunks/:digest", async (c) => {
    const digest = c.req.param("digest");
    const bytes = options.files
      .map((files) => files.chunks.get(digest))
      .find((chunk) => chunk !== undefined);
    if (isDown) return c.text("Unavailable", 503);
    if (bytes === undefined) return c.text("Not found", 404);
    chunkReads += 1;
    await sendRateLimited(c.env.outgoing as ServerResponse, bytes);
    return RESPONSE_ALREADY_SENT;
  });
  app.get("/admin/counters", (c) =>
    c.json({ sent_bytes: sentBytes, chunk_reads: chunkReads }),
  );
  app.post("/admin/availability", async (c) => {
    isDown = (await c.req.text()) === "down";
    return c.json({});
  });
  app.post("/admin/rate", async (c) => {
    limiter.setRate(Number(await c.req.text()));
    return c.json({});
  });

  return startServer(app, options.address);
}
