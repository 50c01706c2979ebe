/**
 * Streams that the worker sends without a length pass through a gateway that is
 * killed midway. A client must be able to see that its answer is not whole.
 */

import { createServer } from "node:http";
import {
  isCloseDelimited,
  listEventIds,
  readStatus,
  sendRequest,
} from "../client.mjs";
import { createConfig, createWorkerEntry, MODEL, SERVICE } from "../config.mjs";
import {
  createFleet,
  findFreePorts,
  isReady,
  sleep,
  waitFor,
} from "../fleet.mjs";
import { createRecord } from "../record.mjs";
import { startStore } from "../store.mjs";

const HAS_TROUBLE = process.env["TROUBLE"] !== "0";
const STREAMS = 8;
const EVENTS = 20;
const EVENT_INTERVAL_MS = 80;
/** Events that each client has before the gateway is killed. */
const EVENTS_BEFORE_KILL = 5;
const HELD = 0;
const BROKEN = 1;
const COULD_NOT_RUN = 2;

const record = createRecord(import.meta.url);

/**
 * A worker whose answers have no length and end with their channel. Every
 * second one is sent in chunks instead, for comparison.
 */
async function startWorker(port) {
  const born = Date.now();
  let answers = 0;
  let running = 0;
  const wholeIds = [];
  const server = createServer((request, response) => {
    request.resume();
    if (request.url === "/-/report") {
      const report = {
        stage: "colocated",
        models: [{ name: MODEL, version: 1, adapters: [] }],
        busy: false,
        seq: 0,
        waiting: 0,
        running,
        "kv-used": 0,
        "kv-total": 317000,
        handles: 0,
        born,
      };
      response.setHeader("content-type", "application/json");
      return response.end(JSON.stringify(report));
    }
    const id = request.headers["attempt-id"];
    if (id === undefined || request.headers["expect-instance"] !== "i-1") {
      return response.writeHead(421, { "Instance-Id": "i-1" }).end();
    }
    const isChunked = answers % 2 === 1;
    answers += 1;
    running += 1;
    record(`worker runs ${id}, ${isChunked ? "in chunks" : "without length"}`);
    if (!isChunked) {
      response.useChunkedEncodingByDefault = false;
      response.shouldKeepAlive = false;
    }
    response.writeHead(200, {
      "Content-Type": "text/event-stream",
      "Attempt-Id": id,
      "Response-Seal": `seal.${id}`,
      "Weight-Versions": "1",
    });
    let next = 1;
    const timer = setInterval(() => {
      response.write(`id: ${next}\ndata: ${"token ".repeat(10)}\n\n`);
      next += 1;
      if (next <= EVENTS) return;
      clearInterval(timer);
      wholeIds.push(id);
      response.end();
    }, EVENT_INTERVAL_MS);
    response.on("close", () => {
      clearInterval(timer);
      running -= 1;
      if (!wholeIds.includes(id)) {
        record(`worker stops ${id} after ${next - 1} events: channel closed`);
      }
    });
  });
  await new Promise((resolve) => server.listen(port, "127.0.0.1", resolve));
  return {
    address: `127.0.0.1:${port}`,
    born,
    close() {
      server.close();
      server.closeAllConnections();
    },
  };
}

async function run(fleet, closers) {
  const ports = await findFreePorts(8);
  const [storePort, workerPort, ...others] = ports;
  const gatewayPorts = others.slice(0, 4);
  const store = await startStore(storePort);
  const worker = await startWorker(workerPort);
  closers.push(store, worker);
  store.put(
    "op/config",
    createConfig({ version: 1, chunks: 64, chunkBytes: 32768 }),
  );
  store.put(
    "servers/i-1",
    createWorkerEntry({
      address: worker.address,
      version: 1,
      born: worker.born,
    }),
  );
  const seeds = [`127.0.0.1:${gatewayPorts[2]}`];
  const gateway = fleet.startGateway({
    name: "edge-kol-a-1",
    ports: gatewayPorts,
    storeAddress: store.address,
    seeds,
  });
  fleet.startSidecar({
    name: "side-kol-a-1",
    ports: others.slice(4, 6),
    service: SERVICE,
    app: worker.address,
    seeds,
  });
  if (!(await waitFor(() => isReady(gateway), 15_000))) return COULD_NOT_RUN;
  await sleep(4_000);

  record(`${STREAMS} requests are sent`);
  const calls = Array.from({ length: STREAMS }, (_, index) =>
    sendRequest({ port: gateway.front, id: `a${index + 1}` }),
  );
  if (HAS_TROUBLE) {
    const hasBegun = await waitFor(
      () =>
        calls.every(
          ({ result }) =>
            listEventIds(result.text).length >= EVENTS_BEFORE_KILL,
        ),
      5_000,
    );
    if (!hasBegun) return COULD_NOT_RUN;
    record("the gateway is killed (SIGKILL)");
    gateway.child.kill("SIGKILL");
  }
  const results = await Promise.race([
    Promise.all(calls.map(({ done }) => done)),
    sleep(15_000),
  ]);
  if (results === undefined) return COULD_NOT_RUN;
  results.forEach(({ id, text, end }) => {
    const kind = isCloseDelimited(text) ? "without length" : "framed";
    record(
      `client of ${id}: status ${readStatus(text)}, ${kind}, ` +
        `${listEventIds(text).length} of ${EVENTS} events, channel ${end}`,
    );
  });
  const answered = results.filter(({ text }) => readStatus(text) === 200);
  if (answered.length < STREAMS) return COULD_NOT_RUN;
  const looksWhole = ({ text, end }) =>
    end === "whole" || (end === "closed" && isCloseDelimited(text));
  const falselyWhole = answered.filter(
    (result) => looksWhole(result) && listEventIds(result.text).length < EVENTS,
  );
  const notWhole = answered.filter((result) => !looksWhole(result));
  record(
    `${falselyWhole.length} answers end early and look complete, ` +
      `${notWhole.length} are seen to be incomplete`,
  );
  if (!HAS_TROUBLE && notWhole.length > 0) return COULD_NOT_RUN;
  return falselyWhole.length > 0 ? BROKEN : HELD;
}

const fleet = createFleet();
const closers = [];
let code = COULD_NOT_RUN;
try {
  code = await run(fleet, closers);
} catch (error) {
  record(`failed: ${error.stack}`);
} finally {
  await fleet.close();
  closers.forEach((closer) => closer.close());
}
record(["MIXED held", "MIXED broken", "could not run"][code]);
process.exit(code);
