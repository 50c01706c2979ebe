/**
 * Stand-in for a worker of a plain service, as a process of its own. A request
 * for the path that crashes workers ends the process as it begins to run.
 *
 * Arguments: id, port, path. Without a path no request crashes it.
 */

import { createServer } from "node:http";

const [id, port, crashingPath] = process.argv.slice(2);
const WORK_MS = 60;

async function run({ url, headers }, response) {
  const attemptId = String(headers["attempt-id"]);
  const isCrash = url === crashingPath;
  const message = { type: "run", id, attemptId, path: url, isCrash };
  process.send(message, () => {
    if (isCrash) process.exit(1);
  });
  if (isCrash) return;
  await new Promise((resolve) => setTimeout(resolve, WORK_MS));
  const body = `booked ${attemptId}\n`;
  response.writeHead(200, {
    "Attempt-Id": attemptId,
    "Response-Seal": `${id}.${attemptId}`,
    "Content-Length": Buffer.byteLength(body),
  });
  response.end(body);
}

const server = createServer((request, response) => {
  request.resume();
  request.on("end", () => {
    if (request.url === "/health") {
      return response.writeHead(200, { "Instance-Id": id }).end();
    }
    response.setHeader("Attempt-Id", String(request.headers["attempt-id"]));
    if (request.headers["expect-instance"] !== id) {
      return response.writeHead(421, { "Instance-Id": id }).end();
    }
    void run(request, response);
  });
});
server.listen(Number(port), "127.0.0.1", () =>
  process.send({ type: "serves", id, bornMs: Date.now() }),
);
