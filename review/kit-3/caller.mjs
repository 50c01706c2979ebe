/**
 * Stand-in for a client: one attempt, on a new channel unless an agent keeps
 * channels open, and what it got.
 */

import { randomBytes } from "node:crypto";
import { request } from "node:http";

export const createAttemptId = () => randomBytes(8).toString("hex");

/**
 * Resolves with the status, the headers and the bytes of the answer. An answer
 * that ends before its length or its last chunk is not complete.
 */
export function sendAttempt({ port, attemptId, host, method, path, ...rest }) {
  const { key, deadlineMs, body = "", headers = {}, agent = false } = rest;
  return new Promise((resolve) => {
    const chunks = [];
    let timer;
    function finish(result) {
      clearTimeout(timer);
      resolve(result);
    }
    const call = request(
      {
        host: "127.0.0.1",
        port,
        method,
        path,
        agent,
        headers: {
          Host: host,
          "Attempt-Id": attemptId,
          "Deadline-Ms": String(deadlineMs),
          Authorization: `Bearer ${key}`,
          "Content-Length": Buffer.byteLength(body),
          ...headers,
        },
      },
      (response) => {
        response.on("data", (bytes) => chunks.push(bytes));
        response.on("error", () => undefined);
        response.on("close", () =>
          finish({
            status: response.statusCode,
            headers: response.headers,
            body: Buffer.concat(chunks).toString(),
            isComplete: response.complete,
            isKept: call.reusedSocket,
          }),
        );
      },
    );
    call.on("error", (error) => finish({ error: error.code ?? String(error) }));
    timer = setTimeout(() => {
      call.destroy();
      finish({ error: "no answer in time" });
    }, deadlineMs + 1_000);
    call.end(body);
  });
}
