import type { Socket } from "node:net";
import { afterEach, expect, test } from "@jest/globals";
import type { CallRoute } from "../directory/mod.ts";
import { callTestGateway as call } from "./testing/caller.ts";
import {
  respondCompletely,
  createEvent,
  startTestFleet,
  streamAll,
  COMPLETE_STREAM,
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

const PLAIN: Partial<CallRoute> = { kind: "idempotent", isResumable: false };

test("a response without length that ends with a reset is incomplete", async () => {
  const unframed: RequestHandler = (request) => {
    request.socket.write(
      "HTTP/1.1 200 OK\r\nx-attempt: a1\r\nconnection: close\r\n\r\nhalf",
    );
    setTimeout(() => request.socket.resetAndDestroy(), 50);
  };
  const { gateway } = await start([unframed, respondCompletely], {
    route: PLAIN,
  });
  expect(await call(gateway.url)).toMatchObject({ body: "whole" });
});

// Guards against a reset that arrives together with the last bytes: the event
// loop then reports the end of the data and never the error.
test.each([
  {
    what: "data and a reset",
    end: (socket: Socket) => void socket.resetAndDestroy(),
  },
  {
    what: "data, FIN and a reset",
    end: (socket: Socket) => void socket.end(() => socket.resetAndDestroy()),
  },
])(
  "a response without length is incomplete if $what arrive at once",
  async ({ end }) => {
    const unframed: RequestHandler = ({ socket }) => {
      socket.write(
        "HTTP/1.1 200 OK\r\nx-attempt: a1\r\nconnection: close\r\n\r\nhalf",
      );
      end(socket);
    };
    const { gateway } = await start([unframed, respondCompletely], {
      route: PLAIN,
    });
    expect(await call(gateway.url)).toMatchObject({ body: "whole" });
  },
);

const endWithoutLength: RequestHandler = (request) => {
  request.socket.end(
    "HTTP/1.1 200 OK\r\nx-attempt: a1\r\nconnection: close\r\n\r\nall",
  );
};

// Guards against a response that looks complete to its caller when this process
// is killed: the kernel then closes the connection in order.
test("a response without length that ends cleanly is passed on with a length", async () => {
  const { gateway } = await start([endWithoutLength, respondCompletely], {
    route: PLAIN,
  });
  const response = await call(gateway.url);
  expect(response).toMatchObject({ status: 200, body: "all" });
  expect(response.headers["content-length"]).toBe("3");
});

// Guards against a response that was cut off by a crash of its endpoint, whose
// kernel closes the connection in order.
test("a response without length is incomplete if its endpoint is gone", async () => {
  const { gateway } = await start([endWithoutLength, respondCompletely], {
    route: PLAIN,
    isEndConfirmed: () => false,
  });
  expect(await call(gateway.url)).toMatchObject({ body: "whole" });
});

test("a response that has no body by its status or method needs no length", async () => {
  const empty: RequestHandler = (_, response) => response.writeHead(204).end();
  const first = await start([empty, respondCompletely], { route: PLAIN });
  expect(await call(first.gateway.url)).toMatchObject({ status: 204 });
  const head: RequestHandler = (_, response) =>
    response.writeHead(200, { "content-length": "7" }).end();
  const second = await start([head], { route: PLAIN });
  const response = await call(second.gateway.url, {}, { method: "HEAD" });
  expect(response).toMatchObject({ status: 200, body: "" });
  expect(response.headers["content-length"]).toBe("7");
});

/** Sends a stream without length that ends cleanly after `count` events. */
const streamUnframed =
  (count: number): RequestHandler =>
  (request) => {
    const from = Number(request.headers["x-last"] ?? 0);
    const events = [1, 2, 3, 4].slice(from, count).map(createEvent).join("");
    request.socket.end(
      `HTTP/1.1 200 OK\r\nx-attempt: a1\r\nconnection: close\r\n\r\n${events}`,
    );
  };

// Guards against a stream that looks complete to its caller when this process
// is killed: the kernel then closes the connection in order.
test("a stream without length is passed on in chunks", async () => {
  const { gateway } = await start([streamUnframed(4)]);
  const response = await call(gateway.url);
  expect(response).toMatchObject({ body: COMPLETE_STREAM, isComplete: true });
  expect(response.headers["transfer-encoding"]).toBe("chunked");
});

const breakOffStream: RequestHandler = (request, response) => {
  response.writeHead(200, { "content-type": "text/event-stream" });
  response.write(createEvent(1));
  setTimeout(() => request.socket.destroy(), 20);
};

test("a stream that is resumed without length is complete if its endpoint ended it", async () => {
  const { gateway } = await start([breakOffStream, streamUnframed(4)]);
  const response = await call(gateway.url);
  expect(response).toMatchObject({ body: COMPLETE_STREAM, isComplete: true });
});

test("a stream that is resumed without length does not look complete if its endpoint is gone", async () => {
  const { gateway } = await start([breakOffStream, streamUnframed(2)], {
    isEndConfirmed: () => false,
  });
  expect((await call(gateway.url)).isComplete).toBe(false);
});

test("a stream whose endpoint is gone after a clean end is resumed at another one", async () => {
  const { gateway } = await start([streamUnframed(2), streamAll], {
    isEndConfirmed: () => false,
  });
  const response = await call(gateway.url);
  expect(response).toMatchObject({ body: COMPLETE_STREAM, isComplete: true });
});

// Guards against a caller of HTTP/1.0, which knows no chunks, that takes a
// stream for complete when it is broken off.
test("a stream for a caller of HTTP/1.0 that is broken off ends with a reset", async () => {
  const { gateway } = await start([breakOffStream], {
    route: { isResumable: false },
  });
  const { socket, received } = await openRawConnection(gateway.url);
  const hasReset = new Promise((resolve) => {
    socket.once("error", () => resolve(true));
    socket.once("end", () => resolve(socket.remoteAddress === undefined));
  });
  socket.write(createRawRequest("body").replace("HTTP/1.1", "HTTP/1.0"));
  expect(await hasReset).toBe(true);
  expect(received()).toContain("data: t1");
});

test("a stream without length that cannot be resumed ends with a reset", async () => {
  const breakOff: RequestHandler = (request) => {
    request.socket.write(
      `HTTP/1.1 200 OK\r\nx-attempt: a1\r\nconnection: close\r\n\r\n${createEvent(1)}`,
    );
    setTimeout(() => request.socket.resetAndDestroy(), 20);
  };
  const { gateway } = await start([breakOff], {
    route: { isResumable: false },
  });
  expect((await call(gateway.url)).isComplete).toBe(false);
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
    other: respondCompletely,
    body: "whole",
  },
  {
    what: "a body without length",
    route: PLAIN,
    start: `${HEAD}\r\n`,
    other: respondCompletely,
    body: "whole",
  },
  {
    what: "an event",
    route: {},
    start: `${HEAD}content-type: text/event-stream\r\n\r\ndata: `,
    other: streamAll,
    body: COMPLETE_STREAM,
  },
])(
  "an attempt with endless bytes in $what is ended and retried",
  async (garbage) => {
    const endless: RequestHandler = ({ socket }) => {
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
