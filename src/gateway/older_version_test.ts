/** Attempts on an older version of weights near the bound for starting there. */

import { afterEach, expect, test } from "@jest/globals";
import { ENGINE } from "../directory/testing/mod.ts";
import type { EndpointLoadNotice } from "../wire/mod.ts";
import { callTestGateway as call } from "./testing/caller.ts";
import {
  createEvent,
  startTestFleet,
  streamAll,
  COMPLETE_STREAM,
} from "./testing/fleet.ts";
import type { RequestHandler } from "./testing/fleet.ts";
import type { TestGatewayOptions } from "./testing/mod.ts";

const closers: (() => unknown)[] = [];

afterEach(() => Promise.all(closers.splice(0).map((close) => close())));

/** Sooner than the first event of an attempt is missed for any other reason. */
const ENDS_WITHIN_MS = 700;

type Fleet = Awaited<ReturnType<typeof startFleet>>;

/** The first endpoint serves version 1 with `handleRequest`, the second 2. */
async function startFleet(
  handleRequest: RequestHandler,
  options: Omit<TestGatewayOptions, "endpoints"> = {},
) {
  let closedAtMs = Infinity;
  const fleet = await startTestFleet(
    [
      (request, response, body) => {
        request.socket.on("close", () => (closedAtMs = performance.now()));
        handleRequest(request, response, body);
      },
      streamAll,
    ],
    { service: { engine: ENGINE }, versions: [1, 2], ...options },
  );
  closers.push(fleet.close);
  return { ...fleet, readClosedAtMs: () => closedAtMs };
}

const hang: RequestHandler = () => undefined;

function createLoadNotice(address: string, version = 1): EndpointLoadNotice {
  return {
    topic: "endpoint_load",
    address,
    phase: "warm",
    models: [{ name: "m", version }],
    running: 0,
    waiting: 0,
    memoryUsedTokens: 0,
    memoryTotalTokens: 0,
    slowdown: 1,
  };
}

function publish({ gateway }: Fleet) {
  gateway.context.directory.apply(
    [{ type: "weights", revision: 2, model: "m", version: 2 }],
    { revision: 2 },
  );
}

async function waitUntilSent({ endpoints }: Fleet) {
  while (endpoints[0]!.requests.length === 0) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

// Guards against a request that starts on an older version after its bound: an
// attempt that was sent before the entry learned of the version had no limit.
test("an attempt that waits when a version becomes known ends by its bound", async () => {
  const fleet = await startFleet(hang);
  const { context, time, url } = fleet.gateway;
  const response = call(url, { "x-model": "m" });
  await waitUntilSent(fleet);
  time.monotonic += context.bounds.versionMs - 300;
  publish(fleet);
  const publishedAtMs = performance.now();
  expect(await response).toMatchObject({ status: 200, body: COMPLETE_STREAM });
  expect(fleet.readClosedAtMs() - publishedAtMs).toBeLessThan(300);
});

// Guards against a limit that is computed once, at sending: another entry knew
// that the version had been published earlier, and a pause stopped the timer.
test.each([
  {
    what: "another entry knows an earlier start",
    advance: ({ gateway }: Fleet) =>
      gateway.context.directory.raiseNotBefore({
        model: "m",
        version: 2,
        notBeforeMs: 0,
      }),
  },
  {
    what: "the clock has advanced by more than its timers",
    advance: ({ gateway }: Fleet) => (gateway.time.monotonic += 7_000),
  },
])("a waiting attempt ends sooner when $what", async ({ advance }) => {
  const outage = {
    durationMs: 6_400,
    firstFailedAtMs: 100,
    lastSentAtMs: 6_500,
  };
  const fleet = await startFleet(hang, { storeOutage: () => outage });
  const { context, time, url } = fleet.gateway;
  const response = call(url, { "x-model": "m" });
  await waitUntilSent(fleet);
  time.monotonic += context.bounds.versionMs;
  publish(fleet);
  advance(fleet);
  const advancedAtMs = performance.now();
  expect(await response).toMatchObject({ status: 200, body: COMPLETE_STREAM });
  expect(fleet.readClosedAtMs() - advancedAtMs).toBeLessThan(ENDS_WITHIN_MS);
});

// Guards against a limit that is extended while the link to the endpoint is so
// full that no report arrives, because an unknown round trip counts as 0.
test("a waiting attempt keeps the longest known round trip to its endpoint", async () => {
  const fleet = await startFleet(hang);
  const { context, time, url } = fleet.gateway;
  let roundTripMs: number | undefined = 600;
  // Of both, as the one with the shorter round trip is chosen.
  fleet.endpoints.forEach(({ address }, index) =>
    context.loads.onReport(createLoadNotice(address, index + 1), {
      roundTripMs: () => roundTripMs,
    }),
  );
  const response = call(url, { "x-model": "m" });
  await waitUntilSent(fleet);
  roundTripMs = undefined;
  time.monotonic += context.bounds.versionMs - 900;
  publish(fleet);
  const publishedAtMs = performance.now();
  expect(await response).toMatchObject({ status: 200, body: COMPLETE_STREAM });
  expect(fleet.readClosedAtMs() - publishedAtMs).toBeLessThan(900 - 600);
});

// Guards against an endpoint that gets no requests after its switch, because an
// attempt that was ended for its older version counted as a failure.
test("an endpoint is not avoided after an attempt on its older version was ended", async () => {
  const fleet = await startFleet(hang);
  const { context, time, url } = fleet.gateway;
  const response = call(url, { "x-model": "m" });
  await waitUntilSent(fleet);
  time.monotonic += context.bounds.versionMs;
  publish(fleet);
  await response;
  expect(context.health.isInBackoff("e0")).toBe(false);
  expect(context.health.failureRate("e0")).toBe(0);
});

// Guards against a request that waits in the endpoint's queue until the bound
// has passed: ending it then races against its start.
test("a request that an endpoint may not start by the bound of its version is refused at once", async () => {
  const fleet = await startTestFleet([streamAll], {
    service: { engine: ENGINE },
    versions: [1],
  });
  closers.push(fleet.close);
  const { context, time, url } = fleet.gateway;
  context.directory.apply(
    [{ type: "weights", revision: 2, model: "m", version: 2 }],
    { revision: 2 },
  );
  time.monotonic += context.bounds.versionMs - 1_000;
  context.directory.confirm(context.clock.nowMs());
  expect((await call(url, { "x-model": "m" })).status).toBe(200);
  const { address } = fleet.endpoints[0]!;
  const queued = Array.from({ length: 12 }, () =>
    context.loads.trackRequest(address, { promptTokens: 400, urgency: 0 }),
  );
  const response = await call(url, { "x-model": "m" });
  expect(response.status).toBe(503);
  expect(JSON.parse(response.body)).toEqual({ error: "older_version" });
  // An endpoint needs this time to load the newer version.
  const loadTimeS = ENGINE.models[0]!.warmUpS;
  expect(Number(response.headers["retry-after"])).toBeGreaterThanOrEqual(
    loadTimeS,
  );
  expect(fleet.endpoints[0]!.requests).toHaveLength(1);
  queued.forEach((request) => request.end());
});

// Guards against a request that arrives after the bound on a link so full that
// the endpoint's reports are seconds late: its round trip then counted as 0.
test("a request is not sent to an older version over a link whose delay may exceed the bound", async () => {
  const fleet = await startTestFleet([streamAll], {
    service: { engine: ENGINE },
    versions: [1],
  });
  closers.push(fleet.close);
  const { context, time, url, skip } = fleet.gateway;
  context.directory.apply(
    [{ type: "weights", revision: 2, model: "m", version: 2 }],
    { revision: 2 },
  );
  const notice = createLoadNotice(fleet.endpoints[0]!.address);
  context.loads.onReport(notice, { roundTripMs: () => 3_500 });
  skip(3_500);
  time.monotonic += context.bounds.versionMs - 3_000;
  context.directory.confirm(context.clock.nowMs());
  const response = await call(url, { "x-model": "m" });
  expect(response.status).toBe(503);
  expect(JSON.parse(response.body)).toEqual({ error: "older_version" });
  expect(fleet.endpoints[0]!.requests).toHaveLength(0);
});

// Guards against a request that is written after the bound because its entry was
// paused or busy while the connection opened: timers run after the connection.
test("a request whose version expires while its connection opens is not sent", async () => {
  const fleet = await startFleet(streamAll);
  const { context, time, url } = fleet.gateway;
  context.directory.apply(
    [{ type: "weights", revision: 2, model: "m", version: 2 }],
    { revision: 2 },
  );
  const { connections } = context;
  const { acquire } = connections;
  Object.assign(connections, {
    acquire(...options: Parameters<typeof acquire>) {
      queueMicrotask(() => (time.monotonic = context.bounds.versionMs));
      return acquire(...options);
    },
  });
  const response = await call(url, { "x-model": "m" });
  expect(response).toMatchObject({ status: 200, body: COMPLETE_STREAM });
  expect(fleet.endpoints[0]!.requests).toHaveLength(0);
  expect(fleet.endpoints[1]!.requests).toHaveLength(1);
  expect(context.health.isInBackoff("e0")).toBe(false);
});

// Guards against requests without a model, for which no bound was applied.
test("a request that names no model does not start on an expired version", async () => {
  const fleet = await startTestFleet([streamAll], {
    service: { engine: ENGINE },
    versions: [1],
  });
  closers.push(fleet.close);
  const { context, time, url } = fleet.gateway;
  context.directory.apply(
    [{ type: "weights", revision: 2, model: "m", version: 2 }],
    { revision: 2 },
  );
  time.monotonic += context.bounds.versionMs;
  context.directory.confirm(context.clock.nowMs());
  expect((await call(url)).status).toBe(503);
  expect(fleet.endpoints[0]!.requests).toHaveLength(0);
});

test("a waiting request that names no model ends by the bound", async () => {
  const fleet = await startFleet(hang);
  const { context, time, url } = fleet.gateway;
  const response = call(url);
  await waitUntilSent(fleet);
  time.monotonic += context.bounds.versionMs;
  publish(fleet);
  const publishedAtMs = performance.now();
  expect(await response).toMatchObject({ status: 200, body: COMPLETE_STREAM });
  expect(fleet.readClosedAtMs() - publishedAtMs).toBeLessThan(ENDS_WITHIN_MS);
});

const sendHeadAndWait: RequestHandler = (_, response) => {
  response.writeHead(200, { "content-type": "text/event-stream" });
  response.flushHeaders();
};

// Guards against an endpoint that sends the head of its response before the
// request starts, which ended the limit on the wait.
test("an attempt with a response head but no event ends by the bound", async () => {
  const fleet = await startFleet(sendHeadAndWait);
  const { context, time, url } = fleet.gateway;
  const response = call(url, { "x-model": "m" });
  await waitUntilSent(fleet);
  await new Promise((resolve) => setTimeout(resolve, 100));
  time.monotonic += context.bounds.versionMs;
  publish(fleet);
  const publishedAtMs = performance.now();
  expect(await response).toMatchObject({ status: 200, body: COMPLETE_STREAM });
  expect(fleet.readClosedAtMs() - publishedAtMs).toBeLessThan(ENDS_WITHIN_MS);
});

// Guards against streams that are cut by the bound although they have started.
test("a stream that has started on an older version goes on after the bound", async () => {
  const continueLater: RequestHandler = (_, response) => {
    response.writeHead(200, { "content-type": "text/event-stream" });
    response.write(createEvent(1));
    setTimeout(() => {
      response.end([2, 3, 4].map(createEvent).join(""));
    }, 500);
  };
  const fleet = await startFleet(continueLater);
  const { context, time, url } = fleet.gateway;
  const response = call(url, { "x-model": "m" });
  await waitUntilSent(fleet);
  await new Promise((resolve) => setTimeout(resolve, 100));
  time.monotonic += context.bounds.versionMs;
  publish(fleet);
  expect(await response).toMatchObject({ status: 200, body: COMPLETE_STREAM });
  expect(fleet.endpoints[1]!.requests).toHaveLength(0);
});

// Guards against a resumed run that starts on the version of the first one
// after its bound.
test("a broken stream is not resumed on an expired version", async () => {
  const breakOff: RequestHandler = (request, response) => {
    response.writeHead(200, { "content-type": "text/event-stream" });
    response.write(createEvent(1));
    setTimeout(() => request.socket.destroy(), 200);
  };
  const fleet = await startTestFleet([breakOff, streamAll], {
    service: { engine: ENGINE },
    versions: [1, 1],
  });
  closers.push(fleet.close);
  const { context, time, url } = fleet.gateway;
  const response = call(url, { "x-model": "m" });
  while (fleet.endpoints[0]!.requests.length === 0) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  await new Promise((resolve) => setTimeout(resolve, 100));
  time.monotonic += context.bounds.versionMs;
  context.directory.apply(
    [{ type: "weights", revision: 2, model: "m", version: 2 }],
    { revision: 2 },
  );
  expect(await response).toMatchObject({ isComplete: false });
  expect(fleet.endpoints[1]!.requests).toHaveLength(0);
});
