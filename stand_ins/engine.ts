/**
 * Stand-in for a model engine: continuous batching in fixed steps, a cold
 * start that falls over under full load, priorities, a prefix cache, load
 * reports with a lag, and load orders with or without a fencing check.
 */

import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import type { HttpBindings } from "@hono/node-server";
import { Hono } from "hono";
import { randomUUID } from "node:crypto";
import type { ServerResponse } from "node:http";
import { formatChunk, formatWhole } from "./answer_format.ts";
import { createToken, hashAnswerKey } from "./answer_text.ts";
import { createPrefixCache } from "./engine_prefix_cache.ts";
import { fetchWeights } from "./engine_weights.ts";
import { startServer } from "./http_server.ts";
import type { RunningServer } from "./http_server.ts";

export interface EngineOptions {
  readonly address?: string;
  readonly stepMs: number;
  readonly prefillMs: number;
  readonly cachedPrefillMs: number;
  readonly warmCapacity: number;
  readonly coldCapacity: number;
  /** Requests to finish before a cold engine is warm. */
  readonly warmUpRequests: number;
  readonly loadMs: number;
  readonly restartMs: number;
  readonly stateLagMs: number;
  readonly checksFencing: boolean;
}

type EnginePhase = "empty" | "loading" | "cold" | "warm";
type Fencing = readonly [configVersion: number, incarnation: string];

interface Run {
  readonly requestId: string;
  readonly priority: number;
  readonly hash: Buffer;
  readonly totalTokens: number;
  readonly isChat: boolean;
  readonly isStream: boolean;
  readonly out: ServerResponse;
  nextToken: number;
  readyAtMs: number;
  text: string;
}

interface EngineState {
  readonly boot_id: string;
  readonly phase: EnginePhase;
  readonly version_digest: string | null;
  readonly in_flight: number;
  readonly queued: number;
  readonly fencing: Fencing | null;
  readonly reported_at_ms: number;
}

/** A prompt with this text brings the engine down. */
export const CRASH_PROMPT = "CRASH-ENGINE";

export async function startEngine(options: EngineOptions) {
  const cache = createPrefixCache();
  let bootId: string = randomUUID();
  let phase: EnginePhase = "empty";
  let digest: string | null = null;
  let fencing: Fencing | null = null;
  let finishedSinceLoad = 0;
  let isRestarting = false;
  let servesDigest: string | undefined;
  let running: Run[] = [];
  let waiting: Run[] = [];
  const reports: EngineState[] = [];
  const counts = {
    started: 0,
    finished: 0,
    cancelled: 0,
    crashes: 0,
    loads: 0,
    /** Most requests at once while cold, waiting ones included. */
    cold_peak: 0,
    /** Reads of the state that were told that it is cold. */
    cold_reports: 0,
  };
  const app = new Hono<{ Bindings: HttpBindings }>();

  function capacity() {
    return phase === "warm" ? options.warmCapacity : options.coldCapacity;
  }

  function report() {
    reports.push({
      boot_id: bootId,
      phase,
      version_digest: digest,
      in_flight: running.length,
      queued: waiting.length,
      fencing,
      reported_at_ms: Date.now(),
    });
    if (reports.length > 200) reports.shift();
  }

  function fallOver() {
    counts.crashes += 1;
    isRestarting = true;
    [...running, ...waiting].forEach((run) => run.out.destroy());
    running = [];
    waiting = [];
    digest = null;
    fencing = null;
    phase = "empty";
    server.dropConnections();
    setTimeout(() => {
      bootId = randomUUID();
      isRestarting = false;
      report();
    }, options.restartMs);
  }

  function startRuns() {
    if (phase === "cold") {
      counts.cold_peak = Math.max(
        counts.cold_peak,
        running.length + waiting.length,
      );
      if (running.length + waiting.length > options.coldCapacity) {
        return fallOver();
      }
    }
    waiting.sort((a, b) => b.priority - a.priority);
    running.push(...waiting.splice(0, capacity() - running.length));
  }

  function step() {
    if (isRestarting) return;
    const nowMs = performance.now();
    running = running.filter((run) => {
      if (run.out.destroyed) return false;
      if (run.readyAtMs > nowMs) return true;
      emitToken(run);
      if (run.nextToken < run.totalTokens) return true;
      finish(run);
      return false;
    });
    waiting = waiting.filter((run) => !run.out.destroyed);
    startRuns();
  }

  function emitToken(run: Run) {
    const token = createToken(run.hash, run.nextToken);
    run.nextToken += 1;
    run.text += token;
    if (run.isStream) run.out.write(formatChunk(run, token, null));
  }

  function finish(run: Run) {
    counts.finished += 1;
    finishedSinceLoad += 1;
    if (phase === "cold" && finishedSinceLoad >= options.warmUpRequests) {
      phase = "warm";
    }
    if (run.isStream) {
      run.out.end(formatChunk(run, "", "stop") + "data: [DONE]\n\n");
    } else run.out.end(JSON.stringify(formatWhole(run)));
  }

  async function complete(body: Record<string, unknown>, out: ServerResponse) {
    if (isRestarting) return out.destroy();
    if (digest === null || phase === "loading" || phase === "empty") {
      out.writeHead(503, { "content-type": "application/json" });
      return out.end('{"error":{"code":"not_loaded"}}');
    }
    const prompt = readPrompt(body);
    if (prompt.includes(CRASH_PROMPT)) return fallOver();
    const resume = body["resume"] as { tokens: number } | undefined;
    const served = servesDigest ?? digest;
    counts.started += 1;
    const prefillMs = cache.use(prompt)
      ? options.cachedPrefillMs
      : options.prefillMs;
    waiting.push({
      requestId: String(body["request_id"] ?? randomUUID()),
      priority: Number(body["priority"] ?? 0),
      hash: hashAnswerKey({ prompt, versionDigest: served }),
      totalTokens: Number(body["max_tokens"] ?? 16),
      isChat: body["messages"] !== undefined,
      isStream: body["stream"] === true,
      out,
      nextToken: resume?.tokens ?? 0,
      readyAtMs: performance.now() + prefillMs,
      text: "",
    });
    const type =
      body["stream"] === true ? "text/event-stream" : "application/json";
    out.writeHead(200, {
      "content-type": type,
      "engine-version-digest": served,
    });
    out.flushHeaders();
    startRuns();
  }

  async function load(order: LoadOrder) {
    counts.loads += 1;
    phase = "loading";
    digest = null;
    [...running, ...waiting].forEach((run) => run.out.destroy());
    running = [];
    waiting = [];
    report();
    const isWhole = await fetchWeights(order.source_url, order.version_digest);
    await new Promise((resolve) => setTimeout(resolve, options.loadMs));
    if (fencing?.[0] !== order.fencing[0] || phase !== "loading") return;
    phase = isWhole ? "cold" : "empty";
    digest = isWhole ? order.version_digest : null;
    finishedSinceLoad = 0;
    cache.clear();
    report();
  }

  const onCompletion = async (c: {
    req: { json(): Promise<unknown> };
    env: HttpBindings;
  }) => {
    const body = (await c.req.json()) as Record<string, unknown>;
    await complete(body, c.env.outgoing as ServerResponse);
    return RESPONSE_ALREADY_SENT;
  };
  app.post("/v1/completions", onCompletion);
  app.post("/v1/chat/completions", onCompletion);
  app.post("/v1/requests/:id/cancel", (c) => {
    const id = c.req.param("id");
    const cancelled = [...running, ...waiting].filter(
      (run) => run.requestId === id,
    );
    cancelled.forEach((run) => run.out.destroy());
    counts.cancelled += cancelled.length;
    return c.json({ cancelled: cancelled.length });
  });
  app.get("/v1/state", (c) => {
    if (isRestarting) return c.text("Restarting", 503);
    const visibleAtMs = Date.now() - options.stateLagMs;
    const visible = reports.findLast((r) => r.reported_at_ms <= visibleAtMs);
    if (visible?.phase === "cold") counts.cold_reports += 1;
    return c.json(visible ?? reports[0]);
  });
  app.post("/v1/orders/load", async (c) => {
    if (isRestarting) return c.text("Restarting", 503);
    const order = (await c.req.json()) as LoadOrder;
    if (options.checksFencing && isOlder(order.fencing, fencing)) {
      return c.json({ error: { code: "fenced", fencing } }, 409);
    }
    fencing = order.fencing;
    void load(order);
    return c.json({}, 202);
  });
  app.post("/admin/fault", async (c) => {
    const fault = (await c.req.json()) as { kind: string; digest?: string };
    if (fault.kind === "crash") fallOver();
    if (fault.kind === "cold") {
      phase = "cold";
      finishedSinceLoad = 0;
    }
    if (fault.kind === "wrong_digest") servesDigest = fault.digest;
    report();
    return c.json({});
  });
  app.get("/admin/counters", (c) => c.json(counts));

  report();
  const server: RunningServer = await startServer(app, options.address);
  const stepTimer = setInterval(step, options.stepMs);
  const reportTimer = setInterval(report, 50);
  return {
    address: server.address,
    close() {
      clearInterval(stepTimer);
      clearInterval(reportTimer);
      return server.close();
    },
  };
}

interface LoadOrder {
  readonly model: string;
  readonly version_digest: string;
  readonly source_url: string;
  readonly fencing: Fencing;
}

function isOlder(order: Fencing, held: Fencing | null): boolean {
  if (held === null) return false;
  return order[0] !== held[0] ? order[0] < held[0] : order[1] < held[1];
}

function readPrompt(body: Record<string, unknown>): string {
  const messages = body["messages"] as { content: string }[] | undefined;
  return messages === undefined
    ? String(body["prompt"] ?? "")
    : messages.map((message) => message.content).join("\n");
}
