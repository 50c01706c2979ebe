import { afterEach, expect, test } from "@jest/globals";
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

const wait = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

/** Sends a second request while the first one waits for its response. */
async function sendTwo(
  handler: RequestHandler,
  kind: "idempotent" | "stream",
  first = createRawRequest("first"),
) {
  const fleet = await startTestFleet([handler], {
    route: { kind, isResumable: false, maxAttempts: 1 },
  });
  closers.push(fleet.close);
  const connection = await openRawConnection(fleet.gateway.url);
  closers.push(() => connection.socket.destroy());
  connection.socket.write(first);
  await wait(50);
  connection.socket.write(createRawRequest("second"));
  await wait(50);
  return { ...fleet, connection };
}

const breakOff: RequestHandler = (request, response) => {
  response.writeHead(200, { "content-type": "text/event-stream" });
  response.write(createEvent(1));
  setTimeout(() => request.socket.destroy(), 200);
};

const streamLater: RequestHandler = (_, response) => {
  response.writeHead(200, { "content-type": "text/event-stream" });
  setTimeout(() => response.end(createEvent(1)), 200);
};

/** Its caller knows no chunks, so the connection ends the stream. */
const REQUEST_OF_HTTP_1_0 = createRawRequest("first").replace(
  "HTTP/1.1\r\n",
  "HTTP/1.0\r\nconnection: keep-alive\r\n",
);

const endWithConnection: RequestHandler = (request) => {
  setTimeout(
    () =>
      request.socket.end(
        "HTTP/1.1 200 OK\r\nx-attempt: a1\r\nconnection: close\r\n\r\nall",
      ),
    200,
  );
};

// Guards against requests that are sent to an endpoint from a connection that
// closes before they can be answered.
test.each([
  { what: "is broken off", handler: breakOff, kind: "stream" as const },
  {
    what: "ends with its connection",
    handler: streamLater,
    kind: "stream" as const,
    first: REQUEST_OF_HTTP_1_0,
  },
])(
  "a request behind a response that $what is not sent to an endpoint",
  async ({ handler, kind, first }) => {
    const { connection, endpoints } = await sendTwo(handler, kind, first);
    await connection.closed;
    await wait(50);
    expect(endpoints[0]!.requests).toHaveLength(1);
  },
);

// Guards against a caller that loses its next request because an endpoint sent
// the response ahead of it without length.
test("a request behind a response without length is answered", async () => {
  const { connection } = await sendTwo(endWithConnection, "idempotent");
  await wait(700);
  expect(connection.received().split("HTTP/1.1 200").length - 1).toBe(2);
});

const respondSlowly: RequestHandler = (request, response, body) => {
  setTimeout(() => respondCompletely(request, response, body), 200);
};

// Guards against an entry that leaves and closes a connection after the first
// of two requests that it has read.
test("an entry that leaves closes a connection after the response to its last request", async () => {
  const { gateway, connection } = await sendTwo(respondSlowly, "idempotent");
  gateway.callerServer.startClosing();
  await connection.closed;
  expect(connection.received().split("HTTP/1.1 200").length - 1).toBe(2);
  expect(connection.received().split("connection: close").length - 1).toBe(1);
});
