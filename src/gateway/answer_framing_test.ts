import type { Socket } from "node:net";
import { afterEach, expect, test } from "@jest/globals";
import type { CallRoute } from "../directory/mod.ts";
import { callTestGateway as call } from "./testing/caller.ts";
import {
  answerWhole,
  event,
  startTestFleet,
  streamAll,
  WHOLE_STREAM,
} from "./testing/fleet.ts";
import type { Respond } from "./testing/fleet.ts";

const closers: (() => unknown)[] = [];

afterEach(() => Promise.all(closers.splice(0).map((close) => close())));

async function start(...args: Parameters<typeof startTestFleet>) {
  const fleet = await startTestFleet(...args);
  closers.push(fleet.close);
  return fleet;
}

const PLAIN: Partial<CallRoute> = { kind: "idempotent", isResumable: false };

test("a response without length that ends with a reset is incomplete", async () => {
  const unframed: Respond = (request) => {
    request.socket.write(
      "HTTP/1.1 200 OK\r\nx-attempt: a1\r\nconnection: close\r\n\r\nhalf",
    );
    setTimeout(() => request.socket.resetAndDestroy(), 50);
  };
  const { gateway } = await start([unframed, answerWhole], { route: PLAIN });
  expect(await call(gateway.url)).toMatchObject({ body: "whole" });
});

test("a response without length that ends cleanly is passed on without length", async () => {
  // A crash can also end it cleanly, so it must not be marked as complete.
  const unframed: Respond = (request) => {
    request.socket.end(
      "HTTP/1.1 200 OK\r\nx-attempt: a1\r\nconnection: close\r\n\r\nall",
    );
  };
  const { gateway } = await start([unframed, answerWhole], { route: PLAIN });
  const answer = await call(gateway.url);
  expect(answer).toMatchObject({ status: 200, body: "all" });
  expect(answer.headers["content-length"]).toBeUndefined();
  expect(answer.headers["transfer-encoding"]).toBeUndefined();
  expect(answer.headers["connection"]).toBe("close");
});

test("a response that has no body by its status or method needs no length", async () => {
  const empty: Respond = (_, response) => response.writeHead(204).end();
  const first = await start([empty, answerWhole], { route: PLAIN });
  expect(await call(first.gateway.url)).toMatchObject({ status: 204 });
  const head: Respond = (_, response) =>
    response.writeHead(200, { "content-length": "7" }).end();
  const second = await start([head], { route: PLAIN });
  const answer = await call(second.gateway.url, {}, { method: "HEAD" });
  expect(answer).toMatchObject({ status: 200, body: "" });
  expect(answer.headers["content-length"]).toBe("7");
});

/** Sends a stream without length that ends cleanly after `count` events. */
const streamUnframed =
  (count: number): Respond =>
  (request) => {
    const from = Number(request.headers["x-last"] ?? 0);
    const events = [1, 2, 3, 4].slice(from, count).map(event).join("");
    request.socket.end(
      `HTTP/1.1 200 OK\r\nx-attempt: a1\r\nconnection: close\r\n\r\n${events}`,
    );
  };

test("a stream without length is passed on without length", async () => {
  const { gateway } = await start([streamUnframed(4)]);
  const answer = await call(gateway.url);
  expect(answer.body).toBe(WHOLE_STREAM);
  expect(answer.headers["transfer-encoding"]).toBeUndefined();
});

test("a stream that is resumed without length does not look complete", async () => {
  const breakOff: Respond = (request, response) => {
    response.writeHead(200, { "content-type": "text/event-stream" });
    response.write(event(1));
    setTimeout(() => request.socket.destroy(), 20);
  };
  const { gateway } = await start([breakOff, streamUnframed(2)]);
  expect((await call(gateway.url)).isWhole).toBe(false);
});

test("a stream without length that cannot be resumed ends with a reset", async () => {
  const breakOff: Respond = (request) => {
    request.socket.write(
      `HTTP/1.1 200 OK\r\nx-attempt: a1\r\nconnection: close\r\n\r\n${event(1)}`,
    );
    setTimeout(() => request.socket.resetAndDestroy(), 20);
  };
  const { gateway } = await start([breakOff], {
    route: { isResumable: false },
  });
  expect((await call(gateway.url)).isWhole).toBe(false);
});

/** Sends the bytes repeatedly until the connection closes. */
function sendEndlessly(socket: Socket, bytes: string) {
  const timer = setInterval(() => socket.write(bytes), 1);
  socket.on("close", () => clearInterval(timer));
  socket.on("error", () => undefined);
}

const ENDLESS = "x".repeat(16 * 1024);
const HEAD = "HTTP/1.1 200 OK\r\nx-attempt: a1\r\n";

// Guards against a faulty endpoint that holds a call and its memory until the
// deadline by sending bytes that never complete a response.
test.each([
  {
    what: "a head",
    route: PLAIN,
    start: `${HEAD}x-more: `,
    other: answerWhole,
    body: "whole",
  },
  {
    what: "a body without length",
    route: PLAIN,
    start: `${HEAD}\r\n`,
    other: answerWhole,
    body: "whole",
  },
  {
    what: "an event",
    route: {},
    start: `${HEAD}content-type: text/event-stream\r\n\r\ndata: `,
    other: streamAll,
    body: WHOLE_STREAM,
  },
])(
  "an attempt with endless bytes in $what is ended and retried",
  async (garbage) => {
    const endless: Respond = ({ socket }) => {
      socket.write(garbage.start);
      sendEndlessly(socket, ENDLESS);
    };
    const { gateway } = await start([endless, garbage.other], {
      route: garbage.route,
    });
    const startedAtMs = performance.now();
    expect(await call(gateway.url)).toMatchObject({ body: garbage.body });
    expect(performance.now() - startedAtMs).toBeLessThan(3_000);
  },
);
