/** Endpoints that ask an entry, with a 503, to send nothing for a time. */

import { afterEach, describe, expect, test } from "@jest/globals";
import type { CallRoute } from "../directory/mod.ts";
import { createEndpoint, SILENT_LOGGER } from "../directory/testing/mod.ts";
import { createRegistry } from "../metrics/mod.ts";
import { computeReturnDelay } from "../scheduling/mod.ts";
import { createEndpointAvailability } from "./endpoint_availability.ts";
import type { EndpointConnection } from "./endpoint_connections.ts";
import { callTestGateway as call } from "./testing/caller.ts";
import { respondCompletely, startTestFleet } from "./testing/fleet.ts";
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
const ENDPOINT = createEndpoint({ startedAtMs: 1_000 });

describe("a pause that an endpoint asks for", () => {
  function createPauses() {
    let nowMs = 50_000;
    const availability = createEndpointAvailability({
      nowMs: () => nowMs,
      registry: createRegistry(),
      logger: SILENT_LOGGER,
    });
    return {
      ask: (retryAfterMs: number, status = 503) =>
        availability.onResponse(ENDPOINT, status, {
          isMarkedNotRun: true,
          isLeaving: false,
          retryAfterMs,
        }),
      advance: (ms: number) => void (nowMs += ms),
      pausedMs: (fields: object = {}) =>
        availability.pausedMs({ ...ENDPOINT, ...fields }),
      lengthMs: () => availability.pauseLengthMs(ENDPOINT),
    };
  }

  test("ends when its time is over", () => {
    const { ask, advance, pausedMs } = createPauses();
    ask(1_500);
    expect(pausedMs()).toBe(1_500);
    advance(1_499);
    expect(pausedMs()).toBe(1);
    advance(1);
    expect(pausedMs()).toBe(0);
  });

  // Guards against a shorter pause, asked for later, that ends a longer one.
  test.each([
    { first: 2_000, second: 500, expected: 1_900 },
    { first: 500, second: 2_000, expected: 2_000 },
    { first: 2_000, second: 0, expected: 1_900 },
  ])(
    "of $first ms and then $second ms lasts to the later end",
    ({ first, second, expected }) => {
      const { ask, advance, pausedMs } = createPauses();
      ask(first);
      advance(100);
      ask(second);
      expect(pausedMs()).toBe(expected);
    },
  );

  test("has the length from its first request to its last end", () => {
    const { ask, advance, lengthMs } = createPauses();
    expect(lengthMs()).toBe(0);
    ask(500);
    advance(400);
    ask(500);
    expect(lengthMs()).toBe(900);
    advance(600);
    ask(300);
    expect(lengthMs()).toBe(300);
  });

  // Guards against a pause that is kept against the endpoint's next start.
  test.each([
    { what: "a new start", fields: { startedAtMs: 2_000 } },
    { what: "another endpoint", fields: { id: "e2" } },
    { what: "another address", fields: { address: "b" } },
  ])("does not concern $what", ({ fields }) => {
    const { ask, pausedMs } = createPauses();
    ask(1_500);
    expect(pausedMs(fields)).toBe(0);
  });

  test.each([200, 421, 429, 500, 502, 504])(
    "is not taken from a response with status %d",
    (status) => {
      const { ask, pausedMs } = createPauses();
      ask(1_500, status);
      expect(pausedMs()).toBe(0);
    },
  );
});

// Guards against logs that grow with the requests in progress, and against a
// change of belief that leaves no line.
test("each change of what an endpoint wants is logged and counted once", () => {
  let nowMs = 0;
  const lines: unknown[] = [];
  const registry = createRegistry();
  const availability = createEndpointAvailability({
    nowMs: () => nowMs,
    registry,
    logger: {
      ...SILENT_LOGGER,
      info: (fields: object, text: string) => lines.push({ ...fields, text }),
    } as unknown as typeof SILENT_LOGGER,
  });
  const respond = (retryAfterMs: number, isLeaving = false) =>
    availability.onResponse(ENDPOINT, 503, {
      isMarkedNotRun: true,
      isLeaving,
      retryAfterMs,
    });
  [1_000, 1_000, 1_000].forEach((pauseMs) => {
    respond(pauseMs);
    nowMs += 20;
  });
  respond(5_000);
  respond(5_000, true);
  respond(5_000, true);
  const pause = { text: "endpoint asked for a pause", endpoint: "e1" };
  expect(lines).toMatchObject([
    { ...pause, pauseMs: 1_000, isExtension: false },
    { ...pause, pauseMs: 5_000, isExtension: true },
    { text: "endpoint says that it is leaving", endpoint: "e1", status: 503 },
  ]);
  const changes = registry.counter("endpoint_availability_changes_total", "");
  expect(changes.read({ kind: "pause" })).toBe(2);
  expect(changes.read({ kind: "leaving" })).toBe(1);
});

describe("the return of callers while all endpoints are paused", () => {
  // Guards against callers that come back too early and are refused again.
  test.each([
    { pausedMs: 1_000, pauseLengthMs: 1_000, from: 1_000, to: 1_500 },
    { pausedMs: 10, pauseLengthMs: 1_000, from: 10, to: 510 },
    { pausedMs: 10, pauseLengthMs: 10, from: 10, to: 310 },
    { pausedMs: 1_900, pauseLengthMs: 1_900, from: 1_900, to: 2_000 },
  ])(
    "is spread after the end of a pause of $pauseLengthMs ms, $pausedMs ms before it",
    ({ from, to, ...options }) => {
      const { retryAfterMs, spreadMs } = computeReturnDelay({
        ...options,
        callerWaitMs: 6_000,
      });
      expect([retryAfterMs, retryAfterMs + spreadMs]).toEqual([from, to]);
    },
  );

  // Guards against the pattern "refused for a while, then all at once": those
  // refused late in a pause had the least to wait, and came back together with
  // those refused early.
  test("is at most twice as frequent as their refusals, in any 100 ms", () => {
    const callers = 2_000;
    const pauseLengthMs = 2_000;
    const returnsAtMs = Array.from({ length: callers }, (_, index) => {
      const refusedAtMs = (index / callers) * pauseLengthMs;
      const { retryAfterMs, spreadMs } = computeReturnDelay({
        pausedMs: pauseLengthMs - refusedAtMs,
        pauseLengthMs,
        callerWaitMs: 20_000,
      });
      // Even steps of the golden ratio, in place of random numbers.
      const share = (index * 0.618_034) % 1;
      return refusedAtMs + retryAfterMs + spreadMs * share;
    });
    const counts = new Map<number, number>();
    returnsAtMs.forEach((atMs) => {
      const window = Math.floor(atMs / 100);
      counts.set(window, (counts.get(window) ?? 0) + 1);
    });
    const ROUNDING = 1.05;
    const refusedPer100Ms = (callers / pauseLengthMs) * 100;
    expect(Math.max(...counts.values())).toBeLessThanOrEqual(
      2 * refusedPer100Ms * ROUNDING,
    );
  });

  // Callers wait a third of their time at most. Another entry may be free.
  test("is spread over the last third of their wait if the pause is longer", () => {
    const { retryAfterMs, spreadMs } = computeReturnDelay({
      pausedMs: 60_000,
      pauseLengthMs: 60_000,
      callerWaitMs: 6_000,
    });
    expect(retryAfterMs).toBeCloseTo(1_333, 0);
    expect(retryAfterMs + spreadMs).toBeCloseTo(2_000, 0);
  });
});

/** Longer than the tests, and than the usual delays of refused callers. */
const PAUSE_MS = 9_000;
/** A caller waits for a third of it, which is longer than a pause. */
const PATIENT = { "x-left": "60000" };

const askForPause =
  (headers: Readonly<Record<string, string>> = {}): RequestHandler =>
  (_, response) =>
    response
      .writeHead(503, { "retry-after": String(PAUSE_MS / 1_000), ...headers })
      .end("full");
const askMarked = askForPause({ "x-not-run": "1" });
const askUnmarked = askForPause({ "response-seal": "seal" });

// Guards against requests to an endpoint that has asked for none.
test.each([
  { what: "marked as not run", handler: askMarked, route: PLAIN },
  { what: "without a mark", handler: askUnmarked, route: PLAIN },
  {
    what: "marked, to a non-idempotent request",
    handler: askMarked,
    route: UNSAFE,
  },
  {
    what: "without a mark, to a non-idempotent request",
    handler: askUnmarked,
    route: UNSAFE,
  },
])(
  "an endpoint that asks for a pause with a 503 $what gets requests only after it",
  async ({ handler, route }) => {
    const { gateway, endpoints } = await start([handler], { route });
    await call(gateway.url);
    const early = await Promise.all([1, 2, 3].map(() => call(gateway.url)));
    expect(early.map(({ status }) => status)).toEqual([503, 503, 503]);
    expect(early[0]!.body).toBe('{"error":"endpoints_paused"}');
    const refused = gateway.context.registry.counter("calls_total", "").read({
      kind: route.kind!,
      outcome: "refused",
      reason: "endpoints_paused",
    });
    expect(refused).toBe(3);
    expect(endpoints[0]!.requests).toHaveLength(1);
    gateway.skip(PAUSE_MS);
    await call(gateway.url);
    expect(endpoints[0]!.requests).toHaveLength(2);
  },
);

const ROUND_TRIP_MS = 20;

// Guards against a burst at each end of a pause that goes on: the endpoint has
// no load then and is the best choice for all requests until its first refusal
// is back, and each of them takes a retry.
test("after a pause one request tries the endpoint before others follow", async () => {
  const { gateway, endpoints } = await start(
    [
      (...args) => setTimeout(() => askMarked(...args), ROUND_TRIP_MS),
      respondCompletely,
    ],
    { route: UNSAFE },
  );
  await call(gateway.url);
  gateway.skip(PAUSE_MS);
  const burst = await Promise.all(
    Array.from({ length: 6 }, () => call(gateway.url)),
  );
  expect(burst.every(({ status }) => status === 200)).toBe(true);
  expect(endpoints[0]!.requests).toHaveLength(2);
});

// Guards against an endpoint that stays out of use because the first request
// after its pause takes long.
test("requests follow soon if the first one after a pause is not refused", async () => {
  let isPaused = true;
  const { gateway, endpoints } = await start(
    [
      (request, response, body) => {
        if (isPaused) return askMarked(request, response, body);
        return setTimeout(
          () => respondCompletely(request, response, body),
          1_000,
        );
      },
    ],
    { route: UNSAFE },
  );
  await call(gateway.url);
  isPaused = false;
  gateway.skip(PAUSE_MS);
  const first = call(gateway.url);
  await waitUntil(() => endpoints[0]!.requests.length === 2);
  await wait(150);
  const second = call(gateway.url);
  await wait(150);
  expect(endpoints[0]!.requests).toHaveLength(3);
  await Promise.all([first, second]);
});

test("requests go to the other endpoints during a pause, and the caller notices nothing", async () => {
  const { gateway, endpoints } = await start([askMarked, respondCompletely], {
    route: UNSAFE,
  });
  const answers = [];
  for (let index = 0; index < 4; index += 1) {
    answers.push(await call(gateway.url));
  }
  expect(answers.map(({ status }) => status)).toEqual([200, 200, 200, 200]);
  expect(endpoints[0]!.requests).toHaveLength(1);
});

// Guards against the fallback onto endpoints in backoff.
test("a paused endpoint gets nothing when all others are in backoff", async () => {
  const { gateway, endpoints } = await start([askMarked, respondCompletely], {
    route: PLAIN,
  });
  await call(gateway.url);
  gateway.context.health.onUnreachable("e1");
  expect(await call(gateway.url)).toMatchObject({ status: 200 });
  expect(endpoints[0]!.requests).toHaveLength(1);
});

// Guards against a backoff after the pause: a full endpoint is not a faulty one.
test("a pause is no failure of the endpoint", async () => {
  const { gateway } = await start([askUnmarked], { route: UNSAFE });
  await call(gateway.url);
  expect(gateway.context.health.failureRate("e0")).toBe(0);
});

// Guards against callers that are told to come back before the pause is over,
// or that learn a different fate of the request.
test.each([
  { what: "the 503 that is the last", before: 0, retries: 0 },
  { what: "the 503 that leaves no other endpoint", before: 0, retries: 9 },
  { what: "a refusal during the pause", before: 1, retries: 0 },
])("$what tells the caller when it is over", async ({ before, retries }) => {
  const { gateway } = await start([askMarked], { route: PLAIN, retries });
  // The endpoint asks for its pause after this.
  const startedAtMs = performance.now();
  for (let index = 0; index < before; index += 1) await call(gateway.url);
  const { status, headers } = await call(gateway.url, PATIENT);
  const tookMs = performance.now() - startedAtMs;
  expect(status).toBe(503);
  expect(tookMs).toBeLessThan(PAUSE_MS / 2);
  const returnMs = Number(headers["retry-after"]) * 1_000;
  expect(tookMs + returnMs).toBeGreaterThanOrEqual(PAUSE_MS);
  expect(returnMs).toBeLessThan(PAUSE_MS * 1.5);
});

// Guards against a wait for the pause of one endpoint, which was asked of this
// entry and not of the caller, while others are free.
test("a 503 that is passed on has the time at which the caller can be served", async () => {
  const long = askForPause({ "retry-after": "30", "response-seal": "seal" });
  const alone = await start([long], { route: UNSAFE });
  const passed = await call(alone.gateway.url, { "x-left": "6000" });
  expect(passed).toMatchObject({
    status: 503,
    body: "full",
    headers: { "response-seal": "seal" },
  });
  expect(Number(passed.headers["retry-after"])).toBeGreaterThan(1);
  expect(Number(passed.headers["retry-after"])).toBeLessThanOrEqual(2);
  const beside = await start([long, respondCompletely], { route: UNSAFE });
  const other = await call(beside.gateway.url);
  expect(other).toMatchObject({ status: 503, body: "full" });
  expect(Number(other.headers["retry-after"])).toBeLessThan(0.5);
});

// Guards against a request that arrives in the pause because its connection
// took long to open: connecting may take as long as a pause may be late.
test("a request that waits for its connection when the endpoint asks for a pause goes elsewhere", async () => {
  const { gateway, endpoints } = await start([askMarked, respondCompletely], {
    route: UNSAFE,
  });
  const { connections, health } = gateway.context;
  const acquire = connections.acquire.bind(connections);
  let acquired = 0;
  connections.acquire = (address, options) => {
    acquired += 1;
    const connection = acquire(address, options);
    return acquired === 1 ? connection.map(delayDispatch) : connection;
  };
  const waiting = call(gateway.url);
  await waitUntil(() => acquired === 1);
  // The first endpoint has one request more in progress than the second one.
  health.onUnreachable("e1");
  await call(gateway.url);
  expect((await waiting).status).toBe(200);
  expect(endpoints[0]!.requests).toHaveLength(1);
  expect(health.failureRate("e0")).toBe(0);
});

const CONNECT_DELAY_MS = 200;

/** The request is sent only after a delay, as on a slow connection. */
function delayDispatch(connection: EndpointConnection): EndpointConnection {
  const { client } = connection;
  let isDestroyed = false;
  const slow = {
    dispatch: (...args: Parameters<typeof client.dispatch>) =>
      void setTimeout(() => {
        if (!isDestroyed) client.dispatch(...args);
      }, CONNECT_DELAY_MS),
    destroy() {
      isDestroyed = true;
      return client.destroy();
    },
  };
  return { ...connection, client: slow as unknown as typeof client };
}

test("a 503 without Retry-After is passed on as it is", async () => {
  const { gateway, endpoints } = await start(
    [(_, response) => response.writeHead(503).end("failed")],
    { route: UNSAFE },
  );
  const response = await call(gateway.url);
  expect(response).toMatchObject({ status: 503, body: "failed" });
  expect(response.headers["retry-after"]).toBeUndefined();
  await call(gateway.url);
  expect(endpoints[0]!.requests).toHaveLength(2);
});

const wait = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

async function waitUntil(isTrue: () => boolean) {
  while (!isTrue()) await wait(5);
}
