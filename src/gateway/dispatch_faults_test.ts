import { request as httpRequest } from "node:http";
import { afterEach, expect, test } from "@jest/globals";
import type { CallRoute } from "../directory/mod.ts";
import { ENGINE } from "../directory/testing/mod.ts";
import { callTestGateway as call } from "./testing/caller.ts";
import {
  respondCompletely,
  createEvent,
  resetAtOnce,
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

const PLAIN: Partial<CallRoute> = { kind: "idempotent", isResumable: false };
const UNSAFE: Partial<CallRoute> = {
  kind: "non_idempotent",
  isResumable: false,
};

test("a non-idempotent request whose connection breaks is not retried and not reported as not run", async () => {
  const { gateway, endpoints } = await start([resetAtOnce, respondCompletely], {
    route: UNSAFE,
  });
  const response = await call(gateway.url);
  expect(response.status).toBe(502);
  expect(response.headers["retry-after"]).toBeUndefined();
  expect(endpoints[1]!.requests).toHaveLength(0);
});

test("a non-idempotent request that an endpoint did not run is retried at another", async () => {
  const shed: RequestHandler = (_, response) =>
    response.writeHead(503, { "x-not-run": "1" }).end();
  const { gateway } = await start([shed, respondCompletely], { route: UNSAFE });
  const response = await call(gateway.url);
  expect(response).toMatchObject({ status: 200, body: "whole" });
});

test("an idempotent request is retried when its response is cut off", async () => {
  const cutOff: RequestHandler = (_, response) => {
    response.writeHead(200, { "content-length": "10" });
    response.write("half");
    setTimeout(() => response.socket?.destroy(), 20);
  };
  const { gateway } = await start([cutOff, respondCompletely], {
    route: PLAIN,
  });
  const response = await call(gateway.url);
  expect(response).toMatchObject({ status: 200, body: "whole" });
});

test("the response to another request is never passed on", async () => {
  const foreign: RequestHandler = (_, response) =>
    response.setHeader("x-attempt", "a0").end("foreign");
  const { gateway } = await start([foreign, respondCompletely], {
    route: PLAIN,
  });
  expect(await call(gateway.url)).toMatchObject({ body: "whole" });
});

test("a stream that breaks within an event is resumed at another endpoint, each event once", async () => {
  const breakOff: RequestHandler = (request, response) => {
    response.writeHead(200, { "content-type": "text/event-stream" });
    response.write(createEvent(1) + createEvent(2) + "id: 3\nda");
    setTimeout(() => request.socket.destroy(), 20);
  };
  const { gateway, endpoints } = await start([breakOff, streamAll]);
  const response = await call(gateway.url);
  expect(response).toMatchObject({ body: COMPLETE_STREAM, isComplete: true });
  expect(endpoints[1]!.requests[0]!["x-last"]).toBe("2");
});

test("a stream that cannot be resumed does not look complete", async () => {
  const breakOff: RequestHandler = (request, response) => {
    response.writeHead(200, { "content-type": "text/event-stream" });
    response.write(createEvent(1));
    setTimeout(() => request.socket.destroy(), 20);
  };
  const { gateway } = await start([breakOff, streamAll], {
    route: { isResumable: false },
  });
  const response = await call(gateway.url);
  expect(response).toMatchObject({ body: createEvent(1), isComplete: false });
});

test("no retry is sent once the shared retry budget is used up", async () => {
  const { gateway, endpoints } = await start([resetAtOnce, streamAll], {
    retries: 0,
  });
  expect((await call(gateway.url)).status).toBe(502);
  expect(endpoints[1]!.requests).toHaveLength(0);
});

test("an endpoint that loses one response still gets calls", async () => {
  let calls = 0;
  const loseFirst: RequestHandler = (request, response, body) => {
    calls += 1;
    if (calls === 1) request.socket.resetAndDestroy();
    else streamAll(request, response, body);
  };
  const { gateway, endpoints } = await start([loseFirst, streamAll]);
  await call(gateway.url);
  const loads = Array.from({ length: 8 }, () =>
    gateway.context.loads.trackRequest(endpoints[1]!.address, {
      promptTokens: 0,
      urgency: 0,
    }),
  );
  expect((await call(gateway.url)).status).toBe(200);
  loads.forEach((load) => load.end());
  expect(calls).toBe(2);
});

test("a call gets no more attempts than its route allows", async () => {
  const { gateway, endpoints } = await start([
    resetAtOnce,
    resetAtOnce,
    streamAll,
  ]);
  expect((await call(gateway.url)).status).toBe(502);
  expect(endpoints[2]!.requests).toHaveLength(0);
});

test("a request is aborted at the endpoint when its caller disconnects", async () => {
  let hasClosed = false;
  const hang: RequestHandler = (request) =>
    request.socket.on("close", () => (hasClosed = true));
  const { gateway, endpoints } = await start([hang]);
  const request = httpRequest(`${gateway.url}/a/1`, {
    method: "POST",
    headers: { host: "desk.example", "x-key": "key-1", "x-attempt": "a1" },
  });
  request.on("error", () => undefined);
  request.end("body");
  await waitUntil(() => endpoints[0]!.requests.length === 1);
  request.destroy();
  await waitUntil(() => hasClosed);
});

test("a call that queues at an endpoint does not start on an expired weight version", async () => {
  // Guards against calls that queue under overload and start after the bound:
  // one queued for 1.1 s and started 0.1 s too late.
  const leftMs = 1_000;
  let closedAfterMs = 0;
  const startedAtMs = performance.now();
  const hang: RequestHandler = (request) =>
    request.socket.on("close", () => {
      closedAfterMs = performance.now() - startedAtMs;
    });
  const { gateway } = await start([hang, streamAll], {
    service: { engine: ENGINE },
    versions: [1, 2],
  });
  const { context, time } = gateway;
  context.directory.apply(
    [{ type: "weights", revision: 2, model: "m", version: 2 }],
    { revision: 2 },
  );
  time.monotonic += context.bounds.versionMs - leftMs;
  context.directory.confirm(context.clock.nowMs());
  const response = await call(gateway.url, { "x-model": "m" });
  expect(response).toMatchObject({ status: 200, body: COMPLETE_STREAM });
  expect(closedAfterMs).toBeGreaterThan(0);
  expect(closedAfterMs).toBeLessThan(leftMs);
});

test("a call gets a 504 at its route's timeout when it may have run", async () => {
  const hang: RequestHandler = () => undefined;
  const { gateway } = await start([hang], {
    route: { ...UNSAFE, timeoutMs: 200 },
  });
  const startedAtMs = performance.now();
  expect((await call(gateway.url)).status).toBe(504);
  expect(performance.now() - startedAtMs).toBeLessThan(600);
});

test("API keys are refused once they are too stale to exclude a revocation", async () => {
  const { gateway } = await start([streamAll]);
  gateway.time.monotonic += 4_000;
  expect((await call(gateway.url)).status).toBe(200);
  gateway.time.wall += 5_000;
  const response = await call(gateway.url);
  expect(response.status).toBe(503);
  expect(response.headers["retry-after"]).toBeDefined();
});

test("unknown keys and routes get statuses that clients do not retry", async () => {
  const { gateway } = await start([streamAll]);
  expect((await call(gateway.url, { "x-key": "other" })).status).toBe(401);
  expect((await call(gateway.url, { host: "other" })).status).toBe(404);
});

test("a body larger than the limit is refused", async () => {
  const { gateway, endpoints } = await start([streamAll]);
  const response = await new Promise<number>((resolve, reject) => {
    const request = httpRequest(
      `${gateway.url}/a/1`,
      { method: "POST", headers: { host: "desk.example", "x-key": "key-1" } },
      (response) => {
        resolve(response.statusCode!);
        request.destroy();
      },
    );
    request.on("error", reject);
    request.end("x".repeat(70_000));
  });
  expect(response).toBe(413);
  expect(endpoints[0]!.requests).toHaveLength(0);
});

test("a request that broke the connection of three endpoints is not sent to another", async () => {
  const { gateway, endpoints } = await start([
    resetAtOnce,
    resetAtOnce,
    resetAtOnce,
    streamAll,
  ]);
  expect((await call(gateway.url)).status).toBe(502);
  expect((await call(gateway.url)).status).toBe(200);
  const record = gateway.context.quarantine;
  expect(record.size()).toBe(1);
  const before = endpoints[3]!.requests.length;
  expect((await call(gateway.url)).status).toBe(503);
  expect(endpoints[3]!.requests).toHaveLength(before);
});

test("unknown keys and routes get a retryable status while the configuration may be stale", async () => {
  const { gateway } = await start([streamAll]);
  gateway.time.monotonic += 2_500;
  expect((await call(gateway.url, { "x-key": "new" })).status).toBe(503);
  expect((await call(gateway.url, { host: "new" })).status).toBe(503);
});

test("a draining entry refuses new calls, because it could cut them off", async () => {
  const { gateway, endpoints } = await start([streamAll]);
  gateway.callerServer.startClosing();
  const closing = await call(gateway.url);
  expect(closing).toMatchObject({ status: 200, body: COMPLETE_STREAM });
  expect(closing.headers["connection"]).toBe("close");
  void gateway.callerServer.drain();
  const draining = await call(gateway.url);
  expect(draining.status).toBe(503);
  expect(draining.headers["retry-after"]).toBeDefined();
  expect(endpoints[0]!.requests).toHaveLength(1);
});

async function waitUntil(isTrue: () => boolean) {
  while (!isTrue()) await new Promise((resolve) => setTimeout(resolve, 5));
}
