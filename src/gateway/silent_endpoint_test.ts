import { afterEach, expect, test } from "@jest/globals";
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

/** Longer than any pause after which a stream is resumed elsewhere. */
const SILENCE_MS = 1_700;
const PLAIN: Partial<CallRoute> = {
  kind: "idempotent",
  isResumable: false,
  objectiveMs: 100,
};

const wait = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

/** Is silent after its first event, and then completes the stream. */
const pauseInStream: RequestHandler = async (_, response) => {
  response.writeHead(200, { "content-type": "text/event-stream" });
  response.write(createEvent(1));
  await wait(SILENCE_MS);
  response.end([2, 3, 4].map(createEvent).join(""));
};

const pauseBeforeStream: RequestHandler = async (request, response, body) => {
  await wait(SILENCE_MS);
  streamAll(request, response, body);
};

// Guards against streams that are cut because their endpoint is silent for a
// second, while nothing else can take them over.
test.each([
  { what: "no other endpoint is listed", spare: [], retries: 10 },
  { what: "the retry budget is used up", spare: [streamAll], retries: 0 },
])(
  "a stream whose endpoint is silent for a while is completed when $what",
  async ({ spare, retries }) => {
    const { gateway } = await start([pauseInStream, ...spare], { retries });
    expect(await call(gateway.url)).toMatchObject({
      body: COMPLETE_STREAM,
      isComplete: true,
    });
  },
);

// Guards against a 502 for a stream whose endpoint is slow to begin.
test("a stream whose first event is late is completed when no other endpoint is listed", async () => {
  const { gateway } = await start([pauseBeforeStream]);
  expect(await call(gateway.url)).toMatchObject({ body: COMPLETE_STREAM });
});

// Guards against a 502 for a request whose endpoint is about to answer.
test("a plain request to a silent endpoint is answered when the retry budget is used up", async () => {
  const slow: RequestHandler = async (_, response) => {
    await wait(600);
    response.end("late");
  };
  const { gateway } = await start([slow, respondCompletely], {
    route: PLAIN,
    retries: 0,
  });
  expect(await call(gateway.url)).toMatchObject({ status: 200, body: "late" });
});

/** Sends one event and is silent from then on. */
const stall: RequestHandler = (_, response) => {
  response.writeHead(200, { "content-type": "text/event-stream" });
  response.write(createEvent(1));
};

// These guard against callers who wait until their deadline for a silent
// endpoint although another could take over.

test("a stream whose endpoint is silent is resumed at another endpoint", async () => {
  const { gateway, endpoints } = await start([stall, streamAll]);
  expect(await call(gateway.url)).toMatchObject({
    body: COMPLETE_STREAM,
    isComplete: true,
  });
  expect(endpoints[1]!.requests[0]!["x-last"]).toBe("1");
});

test("a stream whose endpoint is silent is resumed once another endpoint is available", async () => {
  const { gateway, endpoints } = await start([stall, streamAll]);
  const startedAtMs = performance.now();
  const response = call(gateway.url);
  await wait(900);
  gateway.context.health.onUnreachable("e1");
  await wait(200);
  expect(endpoints[1]!.requests).toHaveLength(0);
  expect(await response).toMatchObject({ body: COMPLETE_STREAM });
  expect(performance.now() - startedAtMs).toBeLessThan(2_000);
});
