/**
 * Stand-in for the platform: the configuration and the host list, which the
 * system only reads. Operators' changes, changes of the host list and outages
 * are made through the /admin routes.
 */

import { Hono } from "hono";
import type { Context } from "hono";
import { startServer } from "./http_server.ts";

export type Availability = "up" | "down" | "stale";

interface PublishedVersion {
  readonly version: number;
  readonly value: string;
  readonly publishedAtMs: number;
}

interface Topic {
  history: PublishedVersion[];
  availability: Availability;
  waiters: (() => void)[];
}

/** Number of versions by which a stale topic lags behind the newest. */
const STALE_VERSION_LAG = 1;
const MAX_WAIT_MS = 30_000;

export interface PlatformOptions {
  readonly address?: string;
  /** Delay before a published host list becomes readable. */
  readonly hostsLagMs?: number;
}

export async function startPlatform(options: PlatformOptions = {}) {
  const topics: Record<"config" | "hosts", Topic> = {
    config: createTopic(),
    hosts: createTopic(),
  };
  let reads = 0;
  const app = new Hono();

  async function readTopic(c: Context, topic: Topic, after: number) {
    reads += 1;
    if (isDown(topic)) return undefined;
    const waitMs = Math.min(Number(c.req.query("wait_ms") ?? 0), MAX_WAIT_MS);
    const deadlineMs = performance.now() + waitMs;
    for (;;) {
      const visible = findVisibleVersion(topic);
      const remainingMs = deadlineMs - performance.now();
      if (visible !== undefined && visible.version > after) return visible;
      if (remainingMs <= 0 || isDown(topic)) return "unchanged";
      await waitForChange(topic, remainingMs);
    }
  }

  app.get("/v1/config", async (c) => {
    const found = await readTopic(
      c,
      topics.config,
      Number(c.req.query("after")),
    );
    if (found === undefined) return c.text("Unavailable", 503);
    if (found === "unchanged") {
      return c.body(null, 204, {
        "Config-Version": formatVisibleVersion(topics.config),
      });
    }
    return c.json({
      version: found.version,
      published_at_ms: found.publishedAtMs,
      value: found.value,
    });
  });
  app.get("/v1/hosts", async (c) => {
    const found = await readTopic(
      c,
      topics.hosts,
      Number(c.req.query("after")),
    );
    if (found === undefined) return c.text("Unavailable", 503);
    if (found === "unchanged") {
      return c.body(null, 204, {
        "Hosts-Sequence": formatVisibleVersion(topics.hosts),
      });
    }
    return c.json({
      sequence: found.version,
      hosts: JSON.parse(found.value) as unknown,
    });
  });

  app.put("/admin/:topic", async (c) => {
    const name = c.req.param("topic") as "config" | "hosts";
    const value = await c.req.text();
    const topic = topics[name];
    const version = (topic.history.at(-1)?.version ?? 0) + 1;
    const entry = { version, value, publishedAtMs: Date.now() };
    setTimeout(
      () => publish(topic, entry),
      name === "hosts" ? (options.hostsLagMs ?? 0) : 0,
    );
    return c.json({ version });
  });
  app.post("/admin/:topic/availability", async (c) => {
    const topic = topics[c.req.param("topic") as "config" | "hosts"];
    topic.availability = (await c.req.text()) as Availability;
    notifyWaiters(topic);
    return c.json({});
  });
  app.get("/admin/reads", (c) => c.json({ reads }));

  return startServer(app, options.address);
}

function createTopic(): Topic {
  return { history: [], availability: "up", waiters: [] };
}

function isDown(topic: Topic): boolean {
  return topic.availability === "down";
}

function publish(topic: Topic, entry: PublishedVersion) {
  topic.history = [...topic.history.slice(-8), entry];
  notifyWaiters(topic);
}

function findVisibleVersion(topic: Topic): PublishedVersion | undefined {
  const lag = topic.availability === "stale" ? STALE_VERSION_LAG : 0;
  return topic.history.at(-1 - lag) ?? topic.history[0];
}

/** The version that readers see; a stale topic shows an older one. */
function formatVisibleVersion(topic: Topic): string {
  return String(findVisibleVersion(topic)?.version ?? 0);
}

function notifyWaiters(topic: Topic) {
  topic.waiters.splice(0).forEach((notify) => notify());
}

function waitForChange(topic: Topic, timeoutMs: number): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, timeoutMs);
    topic.waiters.push(() => {
      clearTimeout(timer);
      resolve();
    });
  });
}
