/**
 * Stand-in for a worker of a plain service, as a process of its own. It answers
 * without a length: the answer ends with its channel. Its health check names it.
 *
 * Arguments: id, port. Tells its parent when it serves, and what it runs, with
 * the whole body of its answer.
 */

import { createServer } from "node:http";

const [id, port] = process.argv.slice(2);
/** From the arrival of a booking to the head of its answer. */
const WORK_MS = 20;
/** The answer is written in this many parts, as its lines are ready. */
const PARTS = 5;
const PART_MS = 20;
const LINES_PER_PART = 4;

const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

function createParts(attemptId) {
  return Array.from({ length: PARTS }, (_, part) =>
    Array.from(
      { length: LINES_PER_PART },
      (_, line) =>
        `booking ${attemptId} line ${part * LINES_PER_PART + line}\n`,
    ).join(""),
  );
}

async function run(attemptId, response) {
  const parts = createParts(attemptId);
  process.send({ type: "run", id, attemptId, body: parts.join("") });
  await sleep(WORK_MS);
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  response.writeHead(200, {
    "Attempt-Id": attemptId,
    "Response-Seal": `${id}.${attemptId}`,
    "Content-Type": "text/plain",
  });
  for (const part of parts) {
    response.write(part);
    await sleep(PART_MS);
  }
  response.end();
}

const server = createServer((request, response) => {
  request.resume();
  request.on("end", () => {
    if (request.url === "/health") {
      return response.writeHead(200, { "Instance-Id": id }).end();
    }
    const attemptId = String(request.headers["attempt-id"]);
    response.setHeader("Attempt-Id", attemptId);
    if (request.headers["expect-instance"] !== id) {
      return response.writeHead(421, { "Instance-Id": id }).end();
    }
    void run(attemptId, response);
  });
});
server.listen(Number(port), "127.0.0.1", () =>
  process.send({ type: "serves", id, bornMs: Date.now() }),
);
