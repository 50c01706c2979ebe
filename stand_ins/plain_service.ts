/**
 * Stand-in for a service with non-idempotent requests. It counts how often it
 * has run each idempotency key.
 */

import { Hono } from "hono";
import { startServer } from "./http_server.ts";

export interface PlainServiceOptions {
  readonly address?: string;
  readonly workMs: number;
}

export async function startPlainService(options: PlainServiceOptions) {
  const runs = new Map<string, number>();
  const app = new Hono();

  app.post("/bookings", async (c) => {
    const key = c.req.header("idempotency-key") ?? "";
    const body: unknown = await c.req.json();
    runs.set(key, (runs.get(key) ?? 0) + 1);
    await new Promise((resolve) => setTimeout(resolve, options.workMs));
    return c.json({ booked: body, key });
  });
  app.get("/bookings/:key", (c) =>
    c.json({ runs: runs.get(c.req.param("key")) ?? 0 }),
  );
  app.get("/admin/runs", (c) => c.json(Object.fromEntries(runs)));

  return startServer(app, options.address);
}
