/**
 * Stand-in for a model worker, as a process of its own. Its streams of numbered
 * events have no length: each ends with its channel. Told to leave, it goes on
 * serving for the time of draining and until its last stream has ended, and then
 * exits.
 *
 * Arguments: id, port.
 */

import { createServer } from "node:http";

const [id, port] = process.argv.slice(2);
const bornMs = Date.now();
const MODEL = "daka510000";
const EVENTS = 20;
const EVENT_MS = 150;
const DRAIN_MS = 2_000;
const streams = new Set();
let drainedAtMs = Infinity;

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

const createReport = () =>
  JSON.stringify({
    stage: "colocated",
    models: [{ name: MODEL, version: 1, adapters: [] }],
    busy: false,
    seq: 0,
    waiting: 0,
    running: streams.size,
    "kv-used": 40_000,
    "kv-total": 317_000,
    handles: 0,
    pace: 1,
    born: bornMs,
  });

function exitIfDone() {
  if (streams.size > 0 || performance.now() < drainedAtMs) return;
  process.send({ type: "exits", id }, () => process.exit(0));
}

async function stream(request, response) {
  const attemptId = String(request.headers["attempt-id"]);
  const first = Number(request.headers["last-event-id"] ?? 0) + 1;
  process.send({ type: "run", id, attemptId, first });
  streams.add(response);
  // The channel has closed once the gateway has read all and closed as well.
  request.socket.once("close", () => {
    streams.delete(response);
    const isWhole = response.writableFinished;
    process.send({ type: "stream ended", id, attemptId, isWhole });
    exitIfDone();
  });
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  response.writeHead(200, {
    "Content-Type": "text/event-stream",
    "Response-Seal": `${id}.${attemptId}`,
    "Weight-Versions": "1",
  });
  for (let number = first; number <= EVENTS; number += 1) {
    await sleep(EVENT_MS);
    if (response.destroyed) return;
    response.write(`id: ${number}\ndata: token ${number}\n\n`);
  }
  response.end();
}

function handle(request, response) {
  const { headers, url } = request;
  if (url === "/-/report") return response.end(createReport());
  if (url === "/health") {
    const status = drainedAtMs === Infinity ? 200 : 503;
    return response.writeHead(status, { "Instance-Id": id }).end();
  }
  response.setHeader("Attempt-Id", String(headers["attempt-id"]));
  const version = headers["expect-version"] ?? "1";
  if (headers["expect-instance"] !== id || version !== "1") {
    return response.writeHead(421, { "Instance-Id": id }).end();
  }
  return void stream(request, response);
}

const server = createServer((request, response) => {
  request.resume();
  request.on("end", () => handle(request, response));
});
server.listen(Number(port), "127.0.0.1", () =>
  process.send({ type: "serves", id, bornMs }),
);
process.on("message", () => {
  drainedAtMs = performance.now() + DRAIN_MS;
  setTimeout(exitIfDone, DRAIN_MS + 1);
});
