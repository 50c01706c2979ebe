/** Stand-in for a client: one attempt on a new channel. */

import { request as httpRequest } from "node:http";

let count = 0;

export function createAttemptId() {
  count += 1;
  return `${process.pid.toString(16)}${count.toString(16).padStart(8, "0")}`;
}

/** Resolves with the answer; a status of 0 means that the channel closed. */
export function send({
  address,
  method = "POST",
  host,
  path,
  key,
  body = "",
  limitMs = 1000,
  attempt = createAttemptId(),
  headers = {},
}) {
  return new Promise((resolve) => {
    const chunks = [];
    const [ip, port] = address.split(":");
    const finish = (status, answer, isWhole) => {
      clearTimeout(timer);
      resolve({
        attempt,
        status,
        isWhole,
        headers: answer?.headers ?? {},
        body: Buffer.concat(chunks).toString(),
      });
    };
    const call = httpRequest({
      host: ip,
      port,
      method,
      path,
      agent: false,
      headers: {
        Host: host,
        "Attempt-Id": attempt,
        "Deadline-Ms": String(limitMs),
        Authorization: `Bearer ${key}`,
        ...(body !== "" && { "Content-Length": Buffer.byteLength(body) }),
        ...headers,
      },
    });
    const timer = setTimeout(() => call.destroy(new Error("gave up")), limitMs);
    call.on("response", (answer) => {
      answer.on("data", (bytes) => chunks.push(bytes));
      answer.on("end", () =>
        finish(answer.statusCode, answer, answer.complete),
      );
      answer.on("error", () => finish(answer.statusCode, answer, false));
    });
    call.on("error", () => finish(0, undefined, false));
    call.end(body);
  });
}

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Waits until an entry answers its readiness check. */
export async function waitUntilReady(address, limitMs = 15000) {
  const endMs = Date.now() + limitMs;
  while (Date.now() < endMs) {
    const isReady = await fetch(`http://${address}/-/readiness`).then(
      ({ status }) => status === 200,
      () => false,
    );
    if (isReady) return true;
    await sleep(50);
  }
  return false;
}
