/**
 * Stand-in for a model worker whose streams run as planned by attempt: a number
 * of events, or a whole run whose answer is lost with a reset.
 */

import { createServer } from "node:http";

const FIRST_EVENT_MS = 120;
const EVENT_MS = 60;
const VERSION = "1";

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/**
 * `findPlan(attemptId)` returns `{ events, isLost }`. With `isLost`, the answer
 * of the first run of the attempt is lost.
 */
export async function startSubjectWorker({ id, model, findPlan, record }) {
  const bornMs = Date.now();
  let running = 0;

  const createReport = () =>
    JSON.stringify({
      stage: "colocated",
      models: [{ name: model, version: 1, adapters: [] }],
      busy: false,
      seq: 0,
      waiting: 0,
      running,
      "kv-used": 40_000,
      "kv-total": 317_000,
      handles: 0,
      pace: 1,
      born: bornMs,
    });

  async function stream({ socket, headers }, response) {
    const attemptId = String(headers["attempt-id"]);
    const plan = findPlan(attemptId);
    const { events, isLost } = plan;
    plan.isLost = false;
    record("run", { id, attemptId, events, isLost });
    running += 1;
    response.on("close", () => {
      running -= 1;
      const isDropped = !isLost && !response.writableFinished;
      if (isDropped) record("dropped", { id, attemptId });
    });
    if (isLost) {
      await sleep(FIRST_EVENT_MS + events * EVENT_MS);
      record("answer lost", { id, attemptId });
      return socket.resetAndDestroy();
    }
    await sleep(FIRST_EVENT_MS);
    response.writeHead(200, {
      "Content-Type": "text/event-stream",
      "Response-Seal": `${id}.${attemptId}`,
      "Weight-Versions": VERSION,
    });
    const first = Number(headers["last-event-id"] ?? 0) + 1;
    for (let number = first; number <= events; number += 1) {
      if (response.destroyed) return;
      response.write(`id: ${number}\ndata: token ${number}\n\n`);
      await sleep(EVENT_MS);
    }
    response.end();
  }

  function handle(request, response) {
    const { headers, url } = request;
    if (url === "/-/report") return response.end(createReport());
    if (url === "/health") {
      return response.writeHead(200, { "Instance-Id": id }).end();
    }
    response.setHeader("Attempt-Id", String(headers["attempt-id"]));
    const version = headers["expect-version"] ?? VERSION;
    if (headers["expect-instance"] !== id || version !== VERSION) {
      return response.writeHead(421, { "Instance-Id": id }).end();
    }
    return void stream(request, response);
  }

  const server = createServer((request, response) => {
    request.resume();
    request.on("end", () => handle(request, response));
  });
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    id,
    bornMs,
    address: `127.0.0.1:${server.address().port}`,
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}
