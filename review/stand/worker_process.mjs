/**
 * A worker of a plain service as a process of its own, so that a crash is the
 * end of a process. Its settings are in the environment; what it does is sent
 * to the process that started it.
 */

import { createServer } from "node:http";

const { id, port, crashingBody, partMs } = JSON.parse(process.env.WORKER);
const WORK_MS = 60;

/** Resolves once the starter has it, also if this process ends then. */
function tell(event, call) {
  const { attempt, body } = call;
  return new Promise((resolve) =>
    process.send({ event, worker: id, attempt, body }, () => resolve()),
  );
}

function writeHead({ response, attempt }) {
  response.writeHead(200, {
    "Content-Type": "text/plain",
    "Attempt-Id": attempt,
    "Response-Seal": `${id}.${attempt}`,
    "Server-Load": "1,0,6",
  });
}

/** Without a length; the answer ends with its channel. */
function answerUnframed(call) {
  const { response, attempt } = call;
  response.useChunkedEncodingByDefault = false;
  response.shouldKeepAlive = false;
  writeHead(call);
  response.write(`attempt ${attempt}: door 4 opened at `);
  void tell("answer begun", call);
  setTimeout(() => {
    if (response.destroyed) return;
    response.end(`the lobby, charged once, reference ${attempt}`);
  }, partMs);
}

async function run(call) {
  await tell("run", call);
  if (call.body === crashingBody) process.kill(process.pid, "SIGKILL");
  if (partMs !== undefined) return answerUnframed(call);
  setTimeout(() => {
    if (call.response.destroyed) return;
    writeHead(call);
    call.response.end(`done ${call.attempt}`);
  }, WORK_MS);
}

const server = createServer((request, response) => {
  const chunks = [];
  request.on("data", (bytes) => chunks.push(bytes));
  request.on("end", () => {
    const { headers } = request;
    const attempt = headers["attempt-id"];
    const isOther = headers["expect-instance"] !== id;
    if (attempt === undefined || isOther) {
      const status = isOther ? 421 : 400;
      const notRun = { "Instance-Id": id, "Not-Run": "1" };
      return response
        .writeHead(status, {
          ...notRun,
          ...(attempt !== undefined && { "Attempt-Id": attempt }),
        })
        .end();
    }
    const body = Buffer.concat(chunks).toString();
    void run({ response, attempt, body });
  });
});
server.listen(port, "127.0.0.1", () =>
  process.send({ event: "listening", port: server.address().port }),
);
process.on("disconnect", () => process.exit(0));
