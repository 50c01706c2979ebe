/** Stand-in for a client: one request on a channel of its own. */

import { connect } from "node:net";
import { API_KEY, HOST, MODEL } from "./config.mjs";

/**
 * Sends the request and collects the bytes of the answer. `end` tells how the
 * channel ended: "closed" in order, "reset" with an error, or "open".
 */
export function sendRequest({ port, id, path = "/quote/1", onBytes }) {
  const result = { id, text: "", end: "open", endedAtMs: undefined };
  const body = "Quote 200 glow sticks";
  const head = [
    `POST ${path} HTTP/1.1`,
    `Host: ${HOST}`,
    `Attempt-Id: ${id}`,
    `Model: ${MODEL}`,
    "Token-Usage: 100,100",
    `Prompt-Prefix: 5c1e07a2:40,${id}:60`,
    "Deadline-Ms: 6000",
    `Authorization: Bearer ${API_KEY}`,
    `Content-Length: ${Buffer.byteLength(body)}`,
  ];
  const socket = connect({ host: "127.0.0.1", port });
  socket.write(`${head.join("\r\n")}\r\n\r\n${body}`);
  const done = new Promise((resolve) => {
    const finish = (end) => {
      if (result.end !== "open") return;
      result.end = end;
      result.endedAtMs = performance.now();
      socket.destroy();
      resolve(result);
    };
    socket.on("data", (bytes) => {
      result.text += bytes.toString("latin1");
      onBytes?.(result);
      if (isFramedEnd(result.text)) finish("whole");
    });
    // A reset that arrives with the last bytes is also reported as the end, but
    // then the socket has no peer any more.
    socket.on("end", () =>
      finish(socket.remoteAddress === undefined ? "reset" : "closed"),
    );
    socket.on("error", () => finish("reset"));
    socket.on("close", () => finish("reset"));
  });
  return { result, done };
}

export function readHead(text) {
  const end = text.indexOf("\r\n\r\n");
  return end < 0 ? undefined : text.slice(0, end).toLowerCase();
}

export function readStatus(text) {
  return Number(/^HTTP\/1\.1 (\d+)/.exec(text)?.[1] ?? 0);
}

/** True if the body has neither a length nor chunks, so the channel ends it. */
export function isCloseDelimited(text) {
  const head = readHead(text);
  return (
    head !== undefined &&
    !/\r\ncontent-length:/.test(head) &&
    !/\r\ntransfer-encoding:/.test(head)
  );
}

function isFramedEnd(text) {
  const head = readHead(text);
  if (head === undefined) return false;
  if (/\r\ntransfer-encoding: *chunked/.test(head)) {
    return text.endsWith("\r\n0\r\n\r\n");
  }
  const length = /\r\ncontent-length: *(\d+)/.exec(head)?.[1];
  return (
    length !== undefined && text.length >= head.length + 4 + Number(length)
  );
}

/** Ids of the complete events in an answer. */
export function listEventIds(text) {
  return [...text.matchAll(/^id: (\d+)\r?\n[^]*?\r?\n\r?\n/gm)].map((match) =>
    Number(match[1]),
  );
}
