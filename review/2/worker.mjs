/**
 * Stand-in for a model worker: reports, staged pieces, orders and streams. It
 * notes the last read of each check of the staged pieces, and whether the
 * pieces that it loads are sound.
 */

import { createServer } from "node:http";
import { MODEL } from "../config.mjs";
import { createPiece, PIECES } from "../weights.mjs";

const ID = "i-1";
const LOAD_MS = 300;
const EVENTS = 20;
const EVENT_INTERVAL_MS = 50;

export async function startWorker({ port, record, onChecked }) {
  const born = Date.now();
  const staged = new Map();
  /** By index of a piece: when it turned bad. */
  const spoiltAtMs = new Map();
  const sockets = new Set();
  let version = 1;
  let loading;
  let running = 0;
  let orders = 0;
  let reads = new Set();
  let checkStartedAtMs;
  /** Bad pieces of the layers that are held, with their age when taken. */
  let held = [];
  const badTokens = [];

  for (let index = 0; index < PIECES; index += 1) {
    staged.set(index, createPiece(1, index));
  }

  function isStaged(wanted) {
    return Array.from({ length: PIECES }).every((_, index) =>
      staged.get(index)?.equals(createPiece(wanted, index)),
    );
  }

  function takeOrder(body, response) {
    const { version: wanted } = JSON.parse(body);
    if (loading !== undefined) return response.writeHead(409).end();
    if (wanted === version) return response.writeHead(200).end();
    const bad = Array.from({ length: PIECES }, (_, index) => index)
      .filter((index) => !staged.get(index)?.equals(createPiece(wanted, index)))
      .map((index) => ({
        index,
        badForMs: performance.now() - (spoiltAtMs.get(index) ?? -Infinity),
      }));
    orders += 1;
    loading = wanted;
    record(
      `worker accepts the order to start version ${wanted}; bad pieces: ` +
        (bad
          .map((b) => `${b.index} for ${Math.round(b.badForMs)} ms`)
          .join(", ") || "none"),
    );
    const load = () => {
      if (running > 0) return setTimeout(load, 5);
      version = undefined;
      setTimeout(() => {
        version = wanted;
        held = bad;
        loading = undefined;
        record(`worker serves version ${version}`);
      }, LOAD_MS);
    };
    load();
    return response.writeHead(202).end();
  }

  function readStaged(url, response) {
    const text = url.searchParams.get("chunk-count");
    if (text === null) {
      reads = new Set();
      checkStartedAtMs = performance.now();
      response.setHeader("content-type", "application/json");
      return response.end(JSON.stringify({ held: [...staged.keys()] }));
    }
    const index = Number(text);
    const bytes = staged.get(index);
    if (bytes === undefined) return response.writeHead(404).end();
    response.end(bytes);
    reads.add(index);
    if (reads.size < PIECES) return;
    const tookMs = performance.now() - checkStartedAtMs;
    [2, 3].filter(isStaged).forEach((sound) => onChecked(sound, tookMs));
  }

  function stream(id, response) {
    if (held.length > 0) badTokens.push(id);
    running += 1;
    const note = held.length > 0 ? ", with layers from bad pieces" : "";
    record(`worker runs ${id} on version ${version}${note}`);
    response.writeHead(200, {
      "Content-Type": "text/event-stream",
      "Attempt-Id": id,
      "Response-Seal": `seal.${id}`,
      "Weight-Versions": String(version),
    });
    let next = 1;
    const timer = setInterval(() => {
      response.write(`id: ${next}\ndata: token\n\n`);
      next += 1;
      if (next <= EVENTS) return;
      clearInterval(timer);
      response.end();
    }, EVENT_INTERVAL_MS);
    response.on("close", () => {
      clearInterval(timer);
      running -= 1;
    });
  }

  function handle(request, body, response) {
    const url = new URL(request.url, "http://worker");
    if (url.pathname === "/-/report") {
      const models =
        version === undefined ? [] : [{ name: MODEL, version, adapters: [] }];
      response.setHeader("content-type", "application/json");
      return response.end(
        JSON.stringify({
          stage: "colocated",
          models,
          busy: loading !== undefined,
          seq: orders,
          waiting: 0,
          running,
          "kv-used": 0,
          "kv-total": 317000,
          handles: 0,
          born,
        }),
      );
    }
    if (url.pathname === "/-/order") return takeOrder(body, response);
    if (url.pathname === `/-/stage-get/${MODEL}`) {
      return readStaged(url, response);
    }
    if (url.pathname === `/-/stage-put/${MODEL}`) {
      const index = Number(url.searchParams.get("chunk-count"));
      staged.set(index, body);
      spoiltAtMs.delete(index);
      return response.end();
    }
    const { headers } = request;
    const id = headers["attempt-id"];
    const expected = headers["expect-version"];
    const isWrong =
      headers["expect-instance"] !== ID ||
      version === undefined ||
      (expected !== undefined && Number(expected) !== version);
    if (isWrong) return response.writeHead(421, { "Attempt-Id": id }).end();
    if (loading !== undefined) {
      return response
        .writeHead(503, { "Attempt-Id": id, "Not-Run": "1" })
        .end();
    }
    stream(id, response);
  }

  const server = createServer((request, response) => {
    const chunks = [];
    request.on("data", (bytes) => chunks.push(bytes));
    request.on("end", () => handle(request, Buffer.concat(chunks), response));
  });
  server.on("connection", (socket) => {
    sockets.add(socket);
    socket.on("close", () => sockets.delete(socket));
  });
  await new Promise((resolve) => server.listen(port, "127.0.0.1", resolve));
  return {
    id: ID,
    address: `127.0.0.1:${port}`,
    born,
    version: () => version,
    badTokens,
    /** Bad pieces of the layers that the worker holds. */
    heldBad: () => held,
    spoil(index) {
      const bytes = Buffer.from(staged.get(index));
      bytes[0] ^= 0xff;
      staged.set(index, bytes);
      spoiltAtMs.set(index, performance.now());
    },
    close() {
      server.close();
      sockets.forEach((socket) => socket.destroy());
    },
  };
}
