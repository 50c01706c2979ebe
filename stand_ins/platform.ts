/**
 * Stand-in for the platform: configuration and host list, both read-only for
 * the system. The /admin routes play the operators and the platform itself.
 */

import { Hono } from "hono";
import type { Context } from "hono";
import { startServer } from "./http_server.ts";

export type Availability = "up" | "down" | "stale";

interface Published {
  readonly version: number;
  readonly value: string;
  readonly publishedAtMs: number;
}

interface Topic {
  history: Published[];
  availability: Availability;
  waiting: (() => void)[];
}

/** Versions behind the newest that a stale topic answers with. */
const STALE_VERSIONS = 1;
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

  async function read(c: Context, topic: Topic, after: number) {
    reads += 1;
    if (isDown(topic)) return undefined;
    const waitMs = Math.min(Number(c.req.query("wait_ms") ?? 0), MAX_WAIT_MS);
    const deadlineMs = performance.now() + waitMs;
    for (;;) {
      const visible = findVisible(topic);
      const leftMs = deadlineMs - performance.now();
      if (visible !== undefined && visible.version > after) return visible;
      if (leftMs <= 0 || isDown(topic)) return "unchanged";
      await waitForChange(topic, leftMs);
    }
  }

  app.get("/v1/config", async (c) => {
    const found = await read(c, topics.config, Number(c.req.query("after")));
    if (found === undefined) return c.text("Unavailable", 503);
    if (found === "unchanged") {
      return c.body(null, 204, {
        "Config-Version": nameVersion(topics.config),
      });
    }
    return c.json({
      version: found.version,
      published_at_ms: found.publishedAtMs,
      value: found.value,
    });
  });
  app.get("/v1/hosts", async (c) => {
    const found = await read(c, topics.hosts, Number(c.req.query("after")));
    if (found === undefined) return c.text("Unavailable", 503);
    if (found === "unchanged") {
      return c.body(null, 204, { "Hosts-Sequence": nameVersion(topics.hosts) });
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
    wakeAll(topic);
    return c.json({});
  });
  app.get("/admin/reads", (c) => c.json({ reads }));

  return startServer(app, options.address);
}

function createTopic(): Topic {
  return { history: [], availability: "up", waiting: [] };
}

function isDown(topic: Topic): boolean {
  return topic.availability === "down";
}

function publish(topic: Topic, entry: Published) {
  topic.history = [...topic.history.slice(-8), entry];
  wakeAll(topic);
}

function findVisible(topic: Topic): Published | undefined {
  const back = topic.availability === "stale" ? STALE_VERSIONS : 0;
  return topic.history.at(-1 - back) ?? topic.history[0];
}

/** The version that readers can see, which may be older than the newest. */
function nameVersion(topic: Topic): string {
  return String(findVisible(topic)?.version ?? 0);
}

function wakeAll(topic: Topic) {
  topic.waiting.splice(0).forEach((wake) => wake());
}

function waitForChange(topic: Topic, timeoutMs: number): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, timeoutMs);
    topic.waiting.push(() => {
      clearTimeout(timer);
      resolve();
    });
  });
}
