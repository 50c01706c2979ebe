/** Endpoints and callers that send without end, or do not read. */

import type { Socket } from "node:net";
import { afterEach, expect, test } from "@jest/globals";
import { waitUntil } from "../../test/wait_until.ts";
import type { CallRoute } from "../directory/mod.ts";
import { callTestGateway } from "./testing/caller.ts";
import {
  createEvent,
  respondCompletely,
  startTestFleet,
} from "./testing/fleet.ts";
import type { RequestHandler } from "./testing/fleet.ts";
import {
  createRawRequest,
  openRawConnection,
} from "./testing/raw_connection.ts";

const closers: (() => unknown)[] = [];

afterEach(() => Promise.all(closers.splice(0).map((close) => close())));

async function start(...args: Parameters<typeof startTestFleet>) {
  const fleet = await startTestFleet(...args);
  closers.push(fleet.close);
  return fleet;
}

const PLAIN: Partial<CallRoute> = {
  kind: "idempotent",
  isResumable: false,
  maxAttempts: 2,
};
const MIB = 1024 * 1024;
const HEAD = "HTTP/1.1 200 OK\r\nx-attempt: a1\r\n";

/** Sends as fast as the other side reads, until the connection closes. */
function sendEndlessly(socket: Socket, createBytes: () => string) {
  function send() {
    while (!socket.destroyed && socket.write(createBytes()));
  }
  socket.on("drain", send);
  socket.on("error", () => undefined);
  send();
}

const sendEndlessBody: RequestHandler = ({ socket }) => {
  socket.write(`${HEAD}\r\n`);
  sendEndlessly(socket, () => "x".repeat(64 * 1024));
};

/** Calls `read` at short intervals until it is stopped, and keeps the maximum. */
function sampleMaximum(read: () => number) {
  let maximum = 0;
  const timer = setInterval(() => (maximum = Math.max(maximum, read())), 5);
  closers.push(() => clearInterval(timer));
  return () => maximum;
}

// Guards against a process that runs out of memory because many endpoints send
// bodies without end at once, and takes the calls of others with it.
test("bodies without end stay within the limit together, and others are answered", async () => {
  const limitBytes = 8 * MIB;
  const { gateway } = await start([sendEndlessBody, respondCompletely], {
    route: PLAIN,
    retries: 1_000,
    maxBufferedBytes: limitBytes,
  });
  const readMaximum = sampleMaximum(gateway.context.responseBuffers.heldBytes);
  const responses = await Promise.all(
    Array.from({ length: 40 }, () => callTestGateway(gateway.url)),
  );
  expect(responses.map(({ body }) => body)).toEqual(
    Array.from({ length: 40 }, () => "whole"),
  );
  expect(readMaximum()).toBeLessThanOrEqual(limitBytes);
  await waitUntil(
    "all buffers are released",
    () => gateway.context.responseBuffers.heldBytes() === 0,
  );
});

const streamEndlessly: RequestHandler = ({ socket }) => {
  let id = 0;
  socket.write(`${HEAD}content-type: text/event-stream\r\n\r\n`);
  sendEndlessly(socket, () => {
    id += 1;
    return createEvent(id).replace("data: ", `data: ${"x".repeat(16_000)}`);
  });
};

// Guards against events that pile up in this process for a caller that has
// stopped reading: the endpoint must be slowed down.
test("a caller that stops reading holds up its endpoint, not this process", async () => {
  const { gateway } = await start([streamEndlessly], {
    route: { maxAttempts: 1 },
  });
  const { socket } = await openRawConnection(gateway.url);
  closers.push(() => socket.destroy());
  let received = "";
  socket.removeAllListeners("data");
  socket.on("data", (bytes: Buffer) => {
    received = (received + bytes.toString("latin1")).slice(-40_000);
  });
  socket.write(createRawRequest("body"));
  await waitUntil("events arrive", () => received.includes("id: "));
  socket.pause();
  const readMaximum = sampleMaximum(gateway.context.responseBuffers.heldBytes);
  await new Promise((resolve) => setTimeout(resolve, 1_500));
  expect(readMaximum()).toBeLessThan(MIB);
  const [lastBefore] = [...received.matchAll(/id: (\d+)/g)].slice(-1);
  socket.resume();
  await waitUntil("the stream goes on", () => {
    const [last] = [...received.matchAll(/id: (\d+)/g)].slice(-1);
    return Number(last?.[1]) > Number(lastBefore?.[1]) + 1_000;
  });
});

/** Sends the head of a request whose body is not complete. */
async function openIncompleteRequest(
  url: string,
  { headers = "", body }: { readonly headers?: string; readonly body: string },
) {
  const connection = await openRawConnection(url);
  closers.push(() => connection.socket.destroy());
  connection.socket.write(
    "POST /a/1 HTTP/1.1\r\nhost: desk.example\r\nx-key: key-1\r\n" +
      `x-attempt: a1\r\n${headers}content-length: 60000\r\n\r\n${body}`,
  );
  return connection;
}

// Guards against callers that hold their connection and their part of a body
// for ever: the deadline of a call began after its body.
test("a request whose body is not complete by its deadline has not run", async () => {
  const { gateway, endpoints } = await start([respondCompletely], {
    route: PLAIN,
  });
  const { received } = await openIncompleteRequest(gateway.url, {
    headers: "x-left: 300\r\n",
    body: "half",
  });
  await waitUntil(
    "the request is refused",
    () => received().startsWith("HTTP/1.1 408"),
    2_000,
  );
  expect(endpoints[0]!.requests).toHaveLength(0);
  expect(gateway.context.requestBuffers.heldBytes()).toBe(0);
});

// Guards against a process that runs out of memory because many callers send
// large bodies at once.
test("bodies of callers stay within the limit together, and small ones are served", async () => {
  const limitBytes = 200_000;
  const { gateway } = await start([respondCompletely], {
    route: PLAIN,
    maxBufferedBytes: limitBytes,
  });
  const readMaximum = sampleMaximum(gateway.context.requestBuffers.heldBytes);
  const large = await Promise.all(
    Array.from({ length: 8 }, () =>
      openIncompleteRequest(gateway.url, { body: "x".repeat(50_000) }),
    ),
  );
  const countRefused = () =>
    large.filter(
      ({ received }) =>
        received().startsWith("HTTP/1.1 503") &&
        received().includes("retry-after: "),
    ).length;
  await waitUntil("four bodies are refused", () => countRefused() === 4);
  expect(await callTestGateway(gateway.url)).toMatchObject({ status: 200 });
  expect(readMaximum()).toBeLessThanOrEqual(limitBytes);
});
