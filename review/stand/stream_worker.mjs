/**
 * A model worker that answers with streams of numbered events, and resumes them
 * at `Last-Event-Id`. While it is full it rejects what is new, as not run. Its
 * newest stream may be preempted: it pauses and goes on. It serves version 1 and
 * takes no orders.
 */

import { createServer } from "node:http";

const EVENTS = 20;
const INTERVAL_MS = 100;
const HEARTBEAT_MS = 1200;
const SLOTS = 16;

export async function startStreamWorker({
  store,
  id,
  service,
  model,
  zone,
  record,
}) {
  const bornMs = Date.now();
  const running = new Set();
  let isFull = false;
  let pauseAfter = Infinity;
  let pauseMs = 0;
  let seq = 0;

  function stream({ attempt, after, response }) {
    const run = { isNewest: true };
    running.forEach((other) => (other.isNewest = false));
    running.add(run);
    record({ event: "run", worker: id, attempt, after });
    response.writeHead(200, {
      "Content-Type": "text/event-stream",
      "Attempt-Id": attempt,
      "Response-Seal": `${id}.${attempt}`,
      "Weight-Versions": "1",
      "Server-Load": `${running.size},0,${SLOTS}`,
    });
    let next = after + 1;
    let timer = setTimeout(sendNext, INTERVAL_MS);
    function sendNext() {
      if (next > EVENTS) {
        record({ event: "run ended", worker: id, attempt });
        return response.end();
      }
      response.write(`id: ${next}\ndata: word ${next}\n\n`);
      const isPreempted = next === pauseAfter && run.isNewest;
      if (isPreempted)
        record({ event: "preempted", worker: id, attempt, next });
      next += 1;
      timer = setTimeout(sendNext, isPreempted ? pauseMs : INTERVAL_MS);
    }
    response.on("close", () => {
      clearTimeout(timer);
      running.delete(run);
      if (next <= EVENTS) {
        record({ event: "closed by the entry", worker: id, attempt, next });
      }
    });
  }

  const models = [{ name: model, version: 1, adapters: [] }];

  /** What a sidecar asks of the worker on its machine. */
  function answerSidecar(path, response) {
    const report = {
      ...{ stage: "colocated", models, busy: false, seq: 0, waiting: 0 },
      ...{ running: running.size, "kv-used": 0, "kv-total": 317000 },
      ...{ handles: 0, pace: 1, born: bornMs },
    };
    const isReport = path === "/-/report";
    const isList = path.startsWith("/-/stage-get/");
    response.writeHead(isReport || isList ? 200 : 404, {
      "Content-Type": "application/json",
    });
    response.end(JSON.stringify(isReport ? report : { held: [] }));
  }

  const server = createServer((request, response) => {
    request.resume();
    request.on("end", () => {
      if (request.url.startsWith("/-/")) {
        return answerSidecar(request.url, response);
      }
      const { headers } = request;
      const attempt = headers["attempt-id"];
      if (headers["expect-instance"] !== id) {
        return response
          .writeHead(421, { "Attempt-Id": attempt, "Instance-Id": id })
          .end();
      }
      if (isFull) {
        record({ event: "rejected as full", worker: id, attempt });
        return response
          .writeHead(503, { "Attempt-Id": attempt, "Not-Run": "1" })
          .end();
      }
      const after = Number(headers["last-event-id"] ?? 0);
      stream({ attempt, after, response });
    });
  });
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  const address = `127.0.0.1:${server.address().port}`;

  function beat() {
    seq += 1;
    store.put(`servers/${id}`, {
      ...{
        service,
        address,
        zone,
        version: "v1",
        slots: SLOTS,
        state: "ready",
      },
      ...{ "coldstart-ms": 0, stage: "colocated", models, born: bornMs, seq },
    });
  }
  beat();
  const beatTimer = setInterval(beat, HEARTBEAT_MS);

  return {
    address,
    zone,
    setFull(value) {
      isFull = value;
    },
    /** The newest stream pauses once, after this event. */
    preempt(afterEvent, forMs) {
      pauseAfter = afterEvent;
      pauseMs = forMs;
    },
    close() {
      clearInterval(beatTimer);
      server.close();
      server.closeAllConnections();
    },
  };
}

export const WHOLE_STREAM = Array.from(
  { length: EVENTS },
  (_, index) => `id: ${index + 1}\ndata: word ${index + 1}\n\n`,
).join("");
