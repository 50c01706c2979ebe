import { createServer } from "node:http";
import type { Server, ServerResponse } from "node:http";
import { connect } from "node:net";
import type { AddressInfo } from "node:net";
import { afterEach, describe, expect, test } from "@jest/globals";
import { createCallerResponse } from "./caller_response.ts";
import type { CallerResponse } from "./caller_response.ts";

const HEAD = { status: 200, headers: { "content-type": "text/event-stream" } };

const servers: Server[] = [];
afterEach(async () => {
  await Promise.all(
    servers.splice(0).map(
      (server) =>
        new Promise((resolve) => {
          server.close(resolve);
          server.closeAllConnections();
        }),
    ),
  );
});

async function startServer(
  answer: (caller: CallerResponse, outgoing: ServerResponse) => unknown,
): Promise<number> {
  const server = createServer((_, outgoing) => {
    const caller = createCallerResponse(outgoing, {
      random: () => 0.5,
      isDraining: () => false,
    });
    answer(caller, outgoing);
  });
  servers.push(server);
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve()),
  );
  return (server.address() as AddressInfo).port;
}

/** Returns what the server sends until it closes or is silent for 200 ms. */
function sendRaw(port: number, request: string): Promise<string> {
  return new Promise((resolve) => {
    const socket = connect(port, "127.0.0.1", () => socket.write(request));
    let text = "";
    socket.setTimeout(200, () => socket.destroy());
    socket.on("data", (bytes) => (text += String(bytes)));
    socket.on("close", () => resolve(text));
  });
}

function readBody(response: string): string {
  return response.slice(response.indexOf("\r\n\r\n") + 4);
}

function delay() {
  return new Promise((resolve) => setTimeout(resolve, 10));
}

async function answerInParts(caller: CallerResponse) {
  caller.start(HEAD);
  for (const part of ["first", "", "second", "x".repeat(300)]) {
    void caller.write(Buffer.from(part));
    await delay();
  }
  caller.end(Buffer.from("last"));
  // A late write must not reach the connection.
  void caller.write(Buffer.from("late"));
}

describe("caller response", () => {
  // Guards against invalid chunks, against an empty chunk, which would end the
  // body early, and against a chunk after the end of the response.
  test("sends the parts of a body as chunks", async () => {
    const port = await startServer(answerInParts);
    const text = await sendRaw(port, "GET / HTTP/1.1\r\nhost: x\r\n\r\n");
    const long = "x".repeat(300);
    expect(readBody(text)).toBe(
      "5\r\nfirst\r\n6\r\nsecond\r\n" +
        `12c\r\n${long}\r\n4\r\nlast\r\n0\r\n\r\n`,
    );
  });

  // Guards against chunked encoding, which HTTP/1.0 callers do not support.
  test("sends an unchunked body to an HTTP/1.0 caller", async () => {
    const port = await startServer(answerInParts);
    const text = await sendRaw(port, "GET / HTTP/1.0\r\n\r\n");
    expect(readBody(text)).toBe(`firstsecond${"x".repeat(300)}last`);
  });

  // Guards against a body in the response to a HEAD request.
  test("sends no body in response to HEAD", async () => {
    const port = await startServer(answerInParts);
    const text = await sendRaw(port, "HEAD / HTTP/1.1\r\nhost: x\r\n\r\n");
    expect(readBody(text)).toBe("");
  });

  // Guards against a response that is written into that of an earlier request.
  test("keeps the responses to pipelined requests separate", async () => {
    const callers: CallerResponse[] = [];
    const port = await startServer((caller) => callers.push(caller));
    const request = "GET / HTTP/1.1\r\nhost: x\r\n\r\n";
    const text = sendRaw(port, request + request);
    while (callers.length < 2) await delay();
    const [first, second] = callers as [CallerResponse, CallerResponse];
    [second, first].forEach((caller) => caller.start(HEAD));
    for (const part of ["1", "2", "3"]) {
      void second.write(Buffer.from(`b${part}`));
      void first.write(Buffer.from(`a${part}`));
      await delay();
    }
    first.end();
    await delay();
    void second.write(Buffer.from("b4"));
    second.end();
    const bodies = (await text).split("HTTP/1.1 200 OK").slice(1);
    expect(bodies.map(readBody)).toEqual([
      "2\r\na1\r\n2\r\na2\r\n2\r\na3\r\n0\r\n\r\n",
      "2\r\nb1\r\n2\r\nb2\r\n2\r\nb3\r\n2\r\nb4\r\n0\r\n\r\n",
    ]);
  });
});
