/**
 * Stand-in for a model worker: streams of numbered events in chunks. When its
 * memory runs out it preempts its newest stream for a while, and rejects what is
 * new as full. A nearly full worker is slow to answer.
 */

import { createServer } from "node:http";

const EVENTS = 20;
const EVENT_MS = 100;
const FIRST_EVENT_MS = 80;

export const MODEL = "daka510000";
export const WHOLE_STREAM = createEvents(1);

function createEvent(number) {
  return `id: ${number}\ndata: token ${number}\n\n`;
}

function createEvents(first) {
  const numbers = Array.from({ length: EVENTS }, (_, index) => index + 1);
  return numbers
    .slice(first - 1)
    .map(createEvent)
    .join("");
}

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** `preemption` says when the newest stream pauses, for how long. */
export async function startStreamWorker({ id, record }) {
  const bornMs = Date.now();
  const streams = new Set();
  let preemption;
  let rejection;

  function createReport() {
    return JSON.stringify({
      stage: "colocated",
      models: [{ name: MODEL, version: 1, adapters: [] }],
      busy: false,
      seq: 0,
      waiting: 0,
      running: streams.size,
      "kv-used": rejection === undefined ? 40_000 : 316_000,
      "kv-total": 317_000,
      handles: 0,
      pace: 1,
      born: bornMs,
    });
  }

  async function stream(request, response) {
    const attemptId = String(request.headers["attempt-id"]);
    const first = Number(request.headers["last-event-id"] ?? 0) + 1;
    record("run", { id, attemptId, first });
    const own = { attemptId };
    streams.add(own);
    response.on("close", () => {
      streams.delete(own);
      if (!response.writableFinished) record("dropped", { id, attemptId });
    });
    response.writeHead(200, {
      "Content-Type": "text/event-stream",
      "Response-Seal": `${id}.${attemptId}`,
      "Weight-Versions": "1",
    });
    await sleep(FIRST_EVENT_MS);
    for (let number = first; number <= EVENTS; number += 1) {
      if (response.destroyed) return;
      response.write(createEvent(number));
      if (number === preemption?.afterEvent) {
        const { forMs } = preemption;
        preemption = undefined;
        record("preempted", { id, attemptId, forMs });
        await sleep(forMs);
        if (!response.destroyed) record("goes on", { id, attemptId });
      }
      await sleep(EVENT_MS);
    }
    response.end();
  }

  async function handle(request, response) {
    const { headers, url } = request;
    if (url === "/-/report") return response.end(createReport());
    if (url === "/health") {
      return response.writeHead(200, { "Instance-Id": id }).end();
    }
    const attemptId = String(headers["attempt-id"]);
    response.setHeader("Attempt-Id", attemptId);
    const version = headers["expect-version"];
    const isMisdirected =
      headers["expect-instance"] !== id ||
      (version !== undefined && version !== "1");
    if (isMisdirected) {
      return response.writeHead(421, { "Instance-Id": id }).end();
    }
    if (rejection === undefined) return stream(request, response);
    await sleep(rejection.afterMs);
    record("rejected", { id, attemptId });
    response.writeHead(503, { "Not-Run": "1", "Content-Length": 0 }).end();
  }

  const server = createServer((request, response) => {
    request.resume();
    request.on("end", () => void handle(request, response));
  });
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    id,
    bornMs,
    address: `127.0.0.1:${server.address().port}`,
    /** The next stream that has sent this event pauses for a time. */
    preempt: (next) => (preemption = next),
    /** New requests are rejected, each after a time; undefined for none. */
    reject: (next) => (rejection = next),
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
