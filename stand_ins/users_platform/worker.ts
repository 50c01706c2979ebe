/**
 * Stand-in for a model worker: load reports, load orders, staged weight chunks
 * and streams of numbered events. It limits the running and the queued requests
 * and rejects requests for another instance or version.
 */

import { createServer } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { createChunk } from "./model_weights.ts";
import type { ModelSpec } from "./model_weights.ts";

export interface WorkerOptions {
  readonly id: string;
  readonly model: ModelSpec;
  /** Version that is staged and served at the start; undefined for none. */
  readonly version: number | undefined;
  readonly eventCount?: number;
  readonly eventIntervalMs?: number;
  readonly loadMs?: number;
  /** Limit of concurrent requests; unlimited by default. */
  readonly slots?: number;
  /** Limit of queued requests; further ones are rejected. */
  readonly maxWaiting?: number;
  /** Time from the start of a request to its first event. */
  readonly firstEventMs?: number;
  /** Called after the last staged chunk has been read. */
  readonly onStagedRead?: () => void;
}

export interface WorkerStandIn {
  readonly id: string;
  readonly address: string;
  /**
   * `isHung`: no request is answered. `isDown`: connections are closed.
   * `isLeaving`: all answers say that it is leaving; it goes on serving.
   * `pauseS`: requests are refused, and none is wanted for so long.
   * `endless`: answers, or the events of streams, have no end.
   * `isUnframed`: streams have neither a length nor chunks.
   * `requestLimit`: named in all answers; requests above it are served, too.
   */
  readonly faults: {
    isHung: boolean;
    isDown: boolean;
    isLeaving: boolean;
    endless: "answers" | "events" | undefined;
    isUnframed: boolean;
    pauseS: number | undefined;
    requestLimit: string | undefined;
  };
  version(): number | undefined;
  /** Ids of the attempts that were meant for this worker, in order. */
  readonly receivedAttemptIds: readonly string[];
  /** Monotonic times at which these attempts arrived. */
  readonly arrivalsMs: readonly number[];
  /** Ids of the attempts that have started to run, in order. */
  readonly startedAttemptIds: readonly string[];
  /** Time from the arrival of an attempt to its first event, by attempt id. */
  readonly firstEventsMs: ReadonlyMap<string, number>;
  /** Corrupts a staged chunk. */
  corruptStagedChunk(index: number): void;
  /** Versions whose load started with a missing or corrupt chunk. */
  readonly corruptLoads: readonly number[];
  /**
   * Ids of the attempts that ran on weights with a chunk which, when they were
   * loaded, was missing, of another version, or corrupt for over 3 s.
   */
  readonly unsoundRuns: readonly string[];
  /** Closes every connection, and new ones until `isDown` is false. */
  crash(): void;
  close(): void;
}

interface ReceivedAttempt {
  readonly attemptId: string;
  readonly headers: IncomingMessage["headers"];
  readonly response: ServerResponse;
  readonly arrivedAtMs: number;
}

const DEFAULT_EVENTS = 5;
const DEFAULT_INTERVAL_MS = 20;
const DEFAULT_LOAD_MS = 50;
/** The platform's rule excuses chunks that turned corrupt just before a load. */
const EXCUSED_CORRUPTION_MS = 3_000;

const ENDLESS_BLOCK_BYTES = 64 * 1024;

/** Sends as fast as the other side reads, until the connection closes. */
function sendEndlessly(response: ServerResponse, what: "answers" | "events") {
  const block = "x".repeat(ENDLESS_BLOCK_BYTES);
  let nextId = 1;
  function send() {
    const bytes =
      what === "answers" ? block : `id: ${nextId}\ndata: ${block}\n\n`;
    nextId += 1;
    if (!response.destroyed && response.write(bytes)) setImmediate(send);
  }
  response.on("drain", send);
  response.writeHead(200, {
    "Content-Type": what === "answers" ? "text/plain" : "text/event-stream",
    "Response-Seal": "endless",
  });
  send();
}

export async function startWorker(
  options: WorkerOptions,
): Promise<WorkerStandIn> {
  const { id, model } = options;
  const faults: WorkerStandIn["faults"] = {
    isHung: false,
    isDown: false,
    isLeaving: false,
    endless: undefined,
    isUnframed: false,
    pauseS: undefined,
    requestLimit: undefined,
  };
  const staged = new Map<number, Buffer>();
  const receivedAttemptIds: string[] = [];
  const arrivalsMs: number[] = [];
  const startedAttemptIds: string[] = [];
  const corruptLoads: number[] = [];
  const unsoundRuns: string[] = [];
  /** Monotonic times, by the index of the chunk. */
  const corruptedAtMs = new Map<number, number>();
  let isSound = true;
  let isLoadSound = true;
  const eventCount = options.eventCount ?? DEFAULT_EVENTS;
  const intervalMs = options.eventIntervalMs ?? DEFAULT_INTERVAL_MS;
  let version = options.version;
  let loading: number | undefined;
  const { slots = Infinity, maxWaiting = Infinity } = options;
  const firstEventMs = options.firstEventMs ?? intervalMs;
  const firstEventsMs = new Map<string, number>();
  const waiting: (() => void)[] = [];
  let running = 0;
  let acceptedOrders = 0;

  if (version !== undefined) {
    for (let index = 0; index < model.chunkCount; index += 1) {
      staged.set(index, createChunk(model, version, index));
    }
  }

  function createReport() {
    return {
      stage: "colocated",
      models:
        version === undefined
          ? []
          : [{ name: model.name, version, adapters: [] }],
      busy: loading !== undefined,
      seq: acceptedOrders,
      waiting: waiting.length,
      running,
      "kv-used": 0,
      "kv-total": 1_000,
      pace: 1,
    };
  }

  function handleOrder(body: string, response: ServerResponse) {
    const { version: wantedVersion, expect: expectedOrders = acceptedOrders } =
      JSON.parse(body) as {
        readonly version: number;
        readonly expect?: number;
      };
    if (expectedOrders !== acceptedOrders) return response.writeHead(409).end();
    if (version === wantedVersion) return response.writeHead(200).end();
    if (loading !== undefined) return response.writeHead(409).end();
    const wrong = Array.from(
      { length: model.chunkCount },
      (_, index) => index,
    ).filter(
      (index) =>
        staged.get(index)?.equals(createChunk(model, wantedVersion, index)) !==
        true,
    );
    if (wrong.length > 0) corruptLoads.push(wantedVersion);
    const excusedFromMs = performance.now() - EXCUSED_CORRUPTION_MS;
    isLoadSound = wrong.every(
      (index) => (corruptedAtMs.get(index) ?? -Infinity) >= excusedFromMs,
    );
    acceptedOrders += 1;
    loading = wantedVersion;
    loadWhenIdle();
    return response.writeHead(202).end();
  }

  function loadWhenIdle() {
    if (running > 0) return void setTimeout(loadWhenIdle, 5);
    version = undefined;
    setTimeout(() => {
      version = loading;
      loading = undefined;
      isSound = isLoadSound;
    }, options.loadMs ?? DEFAULT_LOAD_MS);
  }

  function handleStagedChunk(request: IncomingMessage, body: Buffer, url: URL) {
    const chunkIndex = url.searchParams.get("chunk-count");
    if (request.method === "PUT") {
      staged.set(Number(chunkIndex), body);
      corruptedAtMs.delete(Number(chunkIndex));
      return { status: 200, bytes: Buffer.alloc(0) };
    }
    if (chunkIndex === null) {
      const held = { held: [...staged.keys()] };
      return { status: 200, bytes: Buffer.from(JSON.stringify(held)) };
    }
    const bytes = staged.get(Number(chunkIndex));
    if (Number(chunkIndex) === model.chunkCount - 1) options.onStagedRead?.();
    return { status: bytes ? 200 : 404, bytes: bytes ?? Buffer.alloc(0) };
  }

  function handleAttempt(request: IncomingMessage, response: ServerResponse) {
    const { headers } = request;
    const attemptId = String(headers["attempt-id"]);
    response.setHeader("Attempt-Id", attemptId);
    const expected = headers["expect-version"];
    const isMisdirected =
      headers["expect-instance"] !== id ||
      version === undefined ||
      (expected !== undefined && Number(expected) !== version);
    if (isMisdirected) {
      return response.writeHead(421, { "Instance-Id": id }).end();
    }
    receivedAttemptIds.push(attemptId);
    arrivalsMs.push(performance.now());
    if (faults.endless !== undefined) {
      return sendEndlessly(response, faults.endless);
    }
    if (faults.pauseS !== undefined) {
      const retryAfter = { "Not-Run": "1", "Retry-After": faults.pauseS };
      return response.writeHead(503, retryAfter).end();
    }
    if (loading !== undefined || waiting.length >= maxWaiting) {
      return response.writeHead(503, { "Not-Run": "1" }).end();
    }
    const arrivedAtMs = performance.now();
    const start = () =>
      streamEvents({ attemptId, headers, response, arrivedAtMs });
    if (running < slots) return start();
    waiting.push(start);
    response.on("close", () => {
      const index = waiting.indexOf(start);
      if (index >= 0) waiting.splice(index, 1);
    });
  }

  function streamEvents({
    attemptId,
    headers,
    response,
    arrivedAtMs,
  }: ReceivedAttempt) {
    startedAttemptIds.push(attemptId);
    if (!isSound) unsoundRuns.push(attemptId);
    running += 1;
    if (faults.isUnframed) {
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    }
    response.writeHead(200, {
      "Content-Type": "text/event-stream",
      "Response-Seal": `${id}.${attemptId}`,
      "Weight-Versions": String(version),
    });
    let next = Number(headers["last-event-id"] ?? 0) + 1;
    const sendNext = () => {
      if (next > eventCount) return response.end();
      if (!firstEventsMs.has(attemptId)) {
        firstEventsMs.set(attemptId, performance.now() - arrivedAtMs);
      }
      response.write(`id: ${next}\ndata: token ${next}\n\n`);
      next += 1;
      timer = setTimeout(sendNext, intervalMs);
    };
    let timer = setTimeout(sendNext, firstEventMs);
    response.on("close", () => {
      clearTimeout(timer);
      running -= 1;
      if (running < slots) waiting.shift()?.();
    });
  }

  const server = createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on("data", (bytes: Buffer) => chunks.push(bytes));
    if (faults.isDown) return request.socket.destroy();
    request.on("end", () => {
      if (faults.isHung) return;
      if (faults.isLeaving) response.setHeader("Server-Leaving", "1");
      if (faults.requestLimit !== undefined) {
        response.setHeader("Server-Limit", faults.requestLimit);
      }
      const body = Buffer.concat(chunks);
      const url = new URL(request.url ?? "/", "http://worker");
      if (url.pathname === "/-/report") {
        return response.end(JSON.stringify(createReport()));
      }
      if (url.pathname === "/-/order")
        return handleOrder(body.toString(), response);
      if (url.pathname.startsWith("/-/stage-")) {
        const { status, bytes } = handleStagedChunk(request, body, url);
        return response.writeHead(status).end(bytes);
      }
      handleAttempt(request, response);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address() as AddressInfo;
  return {
    id,
    address: `127.0.0.1:${port}`,
    faults,
    version: () => version,
    receivedAttemptIds,
    arrivalsMs,
    startedAttemptIds,
    firstEventsMs,
    corruptLoads,
    unsoundRuns,
    corruptStagedChunk(index) {
      const bytes = Buffer.from(staged.get(index)!);
      bytes[0]! ^= 0xff;
      staged.set(index, bytes);
      corruptedAtMs.set(index, performance.now());
    },
    crash() {
      faults.isDown = true;
      waiting.splice(0);
      server.closeAllConnections();
    },
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
