/**
 * Stand-in for a model engine: continuous batching in fixed steps, a crash if a
 * cold engine is overloaded, request priorities, a prefix cache, delayed load
 * reports, and load orders with or without a fencing check.
 */

import { RESPONSE_ALREADY_SENT } from "@hono/node-server/utils/response";
import type { HttpBindings } from "@hono/node-server";
import { Hono } from "hono";
import { randomUUID } from "node:crypto";
import type { ServerResponse } from "node:http";
import { formatChunk, formatCompletion } from "./answer_format.ts";
import { createToken, hashAnswerInput } from "./answer_text.ts";
import { createPrefixCache } from "./engine_prefix_cache.ts";
import { fetchAndVerifyWeights } from "./engine_weights.ts";
import { startServer } from "./http_server.ts";
import type { RunningServer } from "./http_server.ts";

export interface EngineOptions {
  readonly address?: string;
  readonly stepMs: number;
  readonly prefillMs: number;
  readonly cachedPrefillMs: number;
  readonly warmCapacity: number;
  readonly coldCapacity: number;
  /** Requests that a cold engine has to complete before it is warm. */
  readonly warmUpRequests: number;
  readonly loadMs: number;
  readonly restartMs: number;
  readonly stateLagMs: number;
  readonly checksFencing: boolean;
}

type EnginePhase = "empty" | "loading" | "cold" | "warm";
type Fencing = readonly [configVersion: number, incarnation: string];

interface EngineRequest {
  readonly requestId: string;
  readonly priority: number;
  readonly hash: Buffer;
  readonly totalTokens: number;
  readonly isChat: boolean;
  readonly isStream: boolean;
  readonly response: ServerResponse;
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

/** A prompt that contains this text crashes the engine. */
export const CRASH_PROMPT = "CRASH-ENGINE";

export async function startEngine(options: EngineOptions) {
  const cache = createPrefixCache();
  let bootId: string = randomUUID();
  let phase: EnginePhase = "empty";
  let digest: string | null = null;
  let fencing: Fencing | null = null;
  let finishedSinceLoad = 0;
  let isRestarting = false;
  let digestOverride: string | undefined;
  let running: EngineRequest[] = [];
  let waiting: EngineRequest[] = [];
  const stateHistory: EngineState[] = [];
  const counts = {
    started: 0,
    finished: 0,
    cancelled: 0,
    crashes: 0,
    loads: 0,
    /** Peak of running and waiting requests while the engine is cold. */
    cold_peak: 0,
    /** State reads that returned the phase "cold". */
    cold_reports: 0,
  };
  const app = new Hono<{ Bindings: HttpBindings }>();

  function currentCapacity() {
    return phase === "warm" ? options.warmCapacity : options.coldCapacity;
  }

  function recordState() {
    stateHistory.push({
      boot_id: bootId,
      phase,
      version_digest: digest,
      in_flight: running.length,
      queued: waiting.length,
      fencing,
      reported_at_ms: Date.now(),
    });
    if (stateHistory.length > 200) stateHistory.shift();
  }

  function crash() {
    counts.crashes += 1;
    isRestarting = true;
    [...running, ...waiting].forEach((request) => request.response.destroy());
    running = [];
    waiting = [];
    digest = null;
    fencing = null;
    phase = "empty";
    server.dropConnections();
    setTimeout(() => {
      bootId = randomUUID();
      isRestarting = false;
      recordState();
    }, options.restartMs);
  }

  function startWaitingRequests() {
    if (phase === "cold") {
      counts.cold_peak = Math.max(
        counts.cold_peak,
        running.length + waiting.length,
      );
      if (running.length + waiting.length > options.coldCapacity) {
        return crash();
      }
    }
    waiting.sort((a, b) => b.priority - a.priority);
    running.push(...waiting.splice(0, currentCapacity() - running.length));
  }

  function runStep() {
    if (isRestarting) return;
    const nowMs = performance.now();
    running = running.filter((request) => {
      if (request.response.destroyed) return false;
      if (request.readyAtMs > nowMs) return true;
      emitToken(request);
      if (request.nextToken < request.totalTokens) return true;
      finishRequest(request);
      return false;
    });
    waiting = waiting.filter((request) => !request.response.destroyed);
    startWaitingRequests();
  }

  function emitToken(request: EngineRequest) {
    const token = createToken(request.hash, request.nextToken);
    request.nextToken += 1;
    request.text += token;
    if (request.isStream)
      request.response.write(formatChunk(request, token, null));
  }

  function finishRequest(request: EngineRequest) {
    counts.finished += 1;
    finishedSinceLoad += 1;
    if (phase === "cold" && finishedSinceLoad >= options.warmUpRequests) {
      phase = "warm";
    }
    if (request.isStream) {
      request.response.end(
        formatChunk(request, "", "stop") + "data: [DONE]\n\n",
      );
    } else request.response.end(JSON.stringify(formatCompletion(request)));
  }

  async function startCompletion(
    body: Record<string, unknown>,
    response: ServerResponse,
  ) {
    if (isRestarting) return response.destroy();
    if (digest === null || phase === "loading" || phase === "empty") {
      response.writeHead(503, { "content-type": "application/json" });
      return response.end('{"error":{"code":"not_loaded"}}');
    }
    const prompt = readPrompt(body);
    if (prompt.includes(CRASH_PROMPT)) return crash();
    const resume = body["resume"] as { tokens: number } | undefined;
    const servedDigest = digestOverride ?? digest;
    counts.started += 1;
    const prefillMs = cache.use(prompt)
      ? options.cachedPrefillMs
      : options.prefillMs;
    waiting.push({
      requestId: String(body["request_id"] ?? randomUUID()),
      priority: Number(body["priority"] ?? 0),
      hash: hashAnswerInput({ prompt, versionDigest: servedDigest }),
      totalTokens: Number(body["max_tokens"] ?? 16),
      isChat: body["messages"] !== undefined,
      isStream: body["stream"] === true,
      response,
      nextToken: resume?.tokens ?? 0,
      readyAtMs: performance.now() + prefillMs,
      text: "",
    });
    const type =
      body["stream"] === true ? "text/event-stream" : "application/json";
    response.writeHead(200, {
      "content-type": type,
      "engine-version-digest": servedDigest,
    });
    response.flushHeaders();
    startWaitingRequests();
  }

  async function loadWeights(order: LoadOrder) {
    counts.loads += 1;
    phase = "loading";
    digest = null;
    [...running, ...waiting].forEach((request) => request.response.destroy());
    running = [];
    waiting = [];
    recordState();
    const isValid = await fetchAndVerifyWeights(
      order.source_url,
      order.version_digest,
    );
    await new Promise((resolve) => setTimeout(resolve, options.loadMs));
    if (fencing?.[0] !== order.fencing[0] || phase !== "loading") return;
    phase = isValid ? "cold" : "empty";
    digest = isValid ? order.version_digest : null;
    finishedSinceLoad = 0;
    cache.clear();
    recordState();
  }

  const handleCompletion = async (c: {
    req: { json(): Promise<unknown> };
    env: HttpBindings;
  }) => {
    const body = (await c.req.json()) as Record<string, unknown>;
    await startCompletion(body, c.env.outgoing as ServerResponse);
    return RESPONSE_ALREADY_SENT;
  };
  app.post("/v1/completions", handleCompletion);
  app.post("/v1/chat/completions", handleCompletion);
  app.post("/v1/requests/:id/cancel", (c) => {
    const id = c.req.param("id");
    const cancelled = [...running, ...waiting].filter(
      (request) => request.requestId === id,
    );
    cancelled.forEach((request) => request.response.destroy());
    counts.cancelled += cancelled.length;
    return c.json({ cancelled: cancelled.length });
  });
  app.get("/v1/state", (c) => {
    if (isRestarting) return c.text("Restarting", 503);
    const visibleAtMs = Date.now() - options.stateLagMs;
    const visible = stateHistory.findLast(
      (r) => r.reported_at_ms <= visibleAtMs,
    );
    if (visible?.phase === "cold") counts.cold_reports += 1;
    return c.json(visible ?? stateHistory[0]);
  });
  app.post("/v1/orders/load", async (c) => {
    if (isRestarting) return c.text("Restarting", 503);
    const order = (await c.req.json()) as LoadOrder;
    if (options.checksFencing && isOlder(order.fencing, fencing)) {
      return c.json({ error: { code: "fenced", fencing } }, 409);
    }
    fencing = order.fencing;
    void loadWeights(order);
    return c.json({}, 202);
  });
  app.post("/admin/fault", async (c) => {
    const fault = (await c.req.json()) as { kind: string; digest?: string };
    if (fault.kind === "crash") crash();
    if (fault.kind === "cold") {
      phase = "cold";
      finishedSinceLoad = 0;
    }
    if (fault.kind === "wrong_digest") digestOverride = fault.digest;
    recordState();
    return c.json({});
  });
  app.get("/admin/counters", (c) => c.json(counts));

  recordState();
  const server: RunningServer = await startServer(app, options.address);
  const stepTimer = setInterval(runStep, options.stepMs);
  const reportTimer = setInterval(recordState, 50);
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

function isOlder(order: Fencing, current: Fencing | null): boolean {
  if (current === null) return false;
  return order[0] !== current[0]
    ? order[0] < current[0]
    : order[1] < current[1];
}

function readPrompt(body: Record<string, unknown>): string {
  const messages = body["messages"] as { content: string }[] | undefined;
  return messages === undefined
    ? String(body["prompt"] ?? "")
    : messages.map((message) => message.content).join("\n");
}
