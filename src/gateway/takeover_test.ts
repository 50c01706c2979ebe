/** Calls whose endpoint is silent and that are sent to others as well. */

import { afterEach, expect, test } from "@jest/globals";
import fc from "fast-check";
import type { CallRoute } from "../directory/mod.ts";
import { callTestGateway as call } from "./testing/caller.ts";
import {
  createEvent,
  respondCompletely,
  startTestFleet,
  streamAll,
  COMPLETE_STREAM,
} from "./testing/fleet.ts";
import type { RequestHandler } from "./testing/fleet.ts";

const closers: (() => unknown)[] = [];

afterEach(() => Promise.all(closers.splice(0).map((close) => close())));

async function start(...args: Parameters<typeof startTestFleet>) {
  const fleet = await startTestFleet(...args);
  closers.push(fleet.close);
  return fleet;
}

const wait = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

const EVENTS = [1, 2, 3, 4];
const STREAM_TYPE = { "content-type": "text/event-stream" };
/** Longer than any pause after which a call is sent to another endpoint. */
const SILENCE_MS = 1_700;
const PLAIN: Partial<CallRoute> = {
  kind: "idempotent",
  isResumable: false,
  objectiveMs: 100,
};

const rejectAsFull: RequestHandler = (_, response) =>
  response.writeHead(503, { "x-not-run": "1" }).end();

/** Sends its events with these delays before each; Infinity for none. */
function streamAfter(delaysMs: readonly number[]): RequestHandler {
  return async (request, response) => {
    const from = Number(request.headers["x-last"] ?? 0);
    response.writeHead(200, STREAM_TYPE).flushHeaders();
    for (const id of EVENTS.filter((event) => event > from)) {
      const delayMs = delaysMs[id - 1] ?? 0;
      if (delayMs === Infinity) return;
      await wait(delayMs);
      response.write(createEvent(id));
    }
    response.end();
  };
}

const pauseInStream = streamAfter([0, SILENCE_MS]);
const stall = streamAfter([0, Infinity]);

// Guards against callers who lose a response although its endpoint goes on: the
// silent attempt was ended before another endpoint had taken the request.
test.each([
  { what: "pauses in a stream", handler: pauseInStream },
  { what: "is slow to begin a stream", handler: streamAfter([SILENCE_MS]) },
])(
  "a stream whose endpoint $what is completed when the others are full",
  async ({ handler }) => {
    const { gateway } = await start([handler, rejectAsFull, rejectAsFull], {
      route: { maxAttempts: 3 },
    });
    expect(await call(gateway.url)).toMatchObject({
      body: COMPLETE_STREAM,
      isComplete: true,
    });
  },
);

/** Ends a request in this way after a time. */
const after =
  (delayMs: number, handler: RequestHandler): RequestHandler =>
  async (...args) => {
    await wait(delayMs);
    void handler(...args);
  };
const breakOff: RequestHandler = (request) => request.socket.resetAndDestroy();

// Guards against a stream that is cut though its endpoint goes on: another one
// that had not rejected the request yet was taken to work on it.
test.each([
  { what: "reject after 0.25 s", handler: after(250, rejectAsFull) },
  { what: "reject after 0.9 s", handler: after(900, rejectAsFull) },
  { what: "break off after 0.25 s", handler: after(250, breakOff) },
])(
  "a stream whose endpoint pauses is completed when the others $what",
  async ({ handler }) => {
    const { gateway } = await start([pauseInStream, handler, handler]);
    expect(await call(gateway.url)).toMatchObject({
      body: COMPLETE_STREAM,
      isComplete: true,
    });
  },
);

// Guards against an error for a request whose first endpoint is about to answer.
test.each([
  { what: "is full", other: rejectAsFull },
  {
    what: "fails",
    other: ((_, response) =>
      response.writeHead(500).end()) satisfies RequestHandler,
  },
  { what: "breaks off", other: breakOff },
  { what: "is slow to reject it", other: after(250, rejectAsFull) },
  { what: "breaks off later", other: after(250, breakOff) },
])(
  "a plain request to a slow endpoint is answered by it when the other one $what",
  async ({ other }) => {
    const slow: RequestHandler = async (_, response) => {
      await wait(700);
      response.end("late");
    };
    const { gateway } = await start([slow, other], {
      route: { ...PLAIN, maxAttempts: 3 },
    });
    expect(await call(gateway.url)).toMatchObject({
      status: 200,
      body: "late",
    });
  },
);

test("a plain request to a silent endpoint is answered by another one", async () => {
  const silent: RequestHandler = () => undefined;
  const { gateway } = await start([silent, respondCompletely], {
    route: PLAIN,
  });
  expect(await call(gateway.url)).toMatchObject({
    status: 200,
    body: "whole",
  });
});

// Guards against a stream that is cut because all others are full for a moment.
test("a stream whose endpoint is silent for good is resumed once another one has room", async () => {
  const startedAtMs = performance.now();
  const fullAtFirst: RequestHandler = (...args) =>
    performance.now() - startedAtMs < 2_500
      ? rejectAsFull(...args)
      : streamAll(...args);
  const { gateway, endpoints } = await start([stall, fullAtFirst, fullAtFirst]);
  expect(await call(gateway.url)).toMatchObject({
    body: COMPLETE_STREAM,
    isComplete: true,
  });
  // Two in each round, with longer and longer pauses between the rounds.
  const arrivals = endpoints.flatMap(({ requests }) => requests).length;
  expect(arrivals).toBeLessThanOrEqual(1 + 3 * 2 + 1);
});

// Guards against a silent endpoint that was given up for one that then rejected
// the call, after which nothing was asked any more.
test("a stream whose endpoint is silent for good is resumed once one that rejects slowly has room", async () => {
  const startedAtMs = performance.now();
  const fullAtFirst: RequestHandler = (...args) =>
    performance.now() - startedAtMs < 2_000
      ? after(250, rejectAsFull)(...args)
      : streamAll(...args);
  const { gateway } = await start([stall, fullAtFirst, fullAtFirst]);
  expect(await call(gateway.url)).toMatchObject({
    body: COMPLETE_STREAM,
    isComplete: true,
  });
});

// Guards against retries of one call that take the budget of the others.
test("a silent call is sent nowhere else once the retry budget is used up", async () => {
  const { gateway, endpoints } = await start([pauseInStream, rejectAsFull], {
    retries: 0,
  });
  expect(await call(gateway.url)).toMatchObject({ body: COMPLETE_STREAM });
  expect(endpoints[1]!.requests).toHaveLength(0);
});

// Guards against a request that runs on more endpoints than its route allows.
test("a call is in progress at no more endpoints than its route allows", async () => {
  const { gateway, endpoints } = await start([stall, stall, stall, stall], {
    route: { maxAttempts: 2 },
  });
  await call(gateway.url, { "x-left": "3500" });
  expect(endpoints.flatMap(({ requests }) => requests)).toHaveLength(2);
});

// Guards against a booking that is made twice.
test("a request that must not run twice is sent to no other endpoint", async () => {
  const slow: RequestHandler = async (_, response) => {
    await wait(SILENCE_MS);
    response.end("booked");
  };
  const { gateway, endpoints } = await start([slow, respondCompletely], {
    route: { ...PLAIN, kind: "non_idempotent" },
  });
  expect(await call(gateway.url)).toMatchObject({ body: "booked" });
  expect(endpoints[1]!.requests).toHaveLength(0);
});

/** Records which endpoints' connections close before their response ends. */
function recordClosed(closed: string[]) {
  return (name: string, handler: RequestHandler): RequestHandler =>
    (request, response, body) => {
      response.on("close", () => {
        if (!response.writableFinished) closed.push(name);
      });
      handler(request, response, body);
    };
}

// Guards against an endpoint that works on a request that another one answers.
test("the attempts that are not needed end as soon as another one answers", async () => {
  const closed: string[] = [];
  const record = recordClosed(closed);
  const { gateway } = await start([
    record("first", streamAfter([0, 1_080])),
    record("second", streamAfter([0, Infinity])),
  ]);
  expect(await call(gateway.url)).toMatchObject({ body: COMPLETE_STREAM });
  await wait(50);
  expect(closed).toEqual(["second"]);
});

// Guards against a silent attempt that is given up before another endpoint has
// shown that it works on the call, and against two endpoints that go on with it.
test("a silent attempt ends with the first event of another endpoint, and not before", async () => {
  const closed: string[] = [];
  let closedBefore: readonly string[] = [];
  let closedAfter: readonly string[] = [];
  const takeSlowly: RequestHandler = async (_, response) => {
    response.writeHead(200, STREAM_TYPE).flushHeaders();
    await wait(400);
    closedBefore = [...closed];
    response.write(createEvent(2));
    await wait(50);
    closedAfter = [...closed];
    response.end([3, 4].map(createEvent).join(""));
  };
  const first = recordClosed(closed)("first", stall);
  const { gateway } = await start([first, takeSlowly]);
  expect(await call(gateway.url)).toMatchObject({ body: COMPLETE_STREAM });
  expect(closedBefore).toEqual([]);
  expect(closedAfter).toEqual(["first"]);
});

// Guards against pieces that are missing, come twice or are joined in another
// order when both endpoints go on at about the same time.
test("a stream is whole whichever of two endpoints goes on first", async () => {
  const delay = fc.constantFrom(0, 10, 900, 1_050, 1_150, 1_300);
  const delays = fc.tuple(delay, delay, delay, delay);
  await fc.assert(
    fc.asyncProperty(
      fc.array(fc.tuple(delays, delays), { minLength: 12, maxLength: 12 }),
      async (cases) => {
        const results = await Promise.all(
          cases.map(async (handlers) => {
            const { gateway } = await start(handlers.map(streamAfter), {
              route: { maxAttempts: 3 },
            });
            return call(gateway.url);
          }),
        );
        results.forEach((result) =>
          expect(result).toMatchObject({
            body: COMPLETE_STREAM,
            isComplete: true,
          }),
        );
      },
    ),
    { numRuns: 2, seed: 49, endOnFailure: true },
  );
});
