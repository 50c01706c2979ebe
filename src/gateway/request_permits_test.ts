/** Permits of an entry for endpoints that name a request limit. */

import { afterEach, describe, expect, test } from "@jest/globals";
import type { CallRoute } from "../directory/mod.ts";
import { createEndpoint, SILENT_LOGGER } from "../directory/testing/mod.ts";
import { createStatedLimits, PERMIT_VALID_MS } from "../limits/mod.ts";
import { createRegistry } from "../metrics/mod.ts";
import type { Notice, Peer, PermitAskNotice } from "../wire/mod.ts";
import { createRequestPermits } from "./request_permits.ts";
import { callTestGateway as call } from "./testing/caller.ts";
import { respondCompletely, startTestFleet } from "./testing/fleet.ts";
import type { RequestHandler } from "./testing/fleet.ts";

const closers: (() => unknown)[] = [];

afterEach(() => Promise.all(closers.splice(0).map((close) => close())));

const ENDPOINT = createEndpoint({ startedAtMs: 1_000 });

function createPermits(
  options: {
    readonly hasAgent?: boolean;
    readonly otherHosts?: readonly string[];
  } = {},
) {
  const { hasAgent = true, otherHosts = [] } = options;
  const time = { nowMs: 50_000 };
  const nowMs = () => time.nowMs;
  const asks: PermitAskNotice[] = [];
  const agent = {
    sendNotice: (notice: Notice) => asks.push(notice as PermitAskNotice),
  } as unknown as Peer;
  const registry = createRegistry();
  const statedLimits = createStatedLimits({
    nowMs,
    registry,
    logger: SILENT_LOGGER,
  });
  const permits = createRequestPermits({
    statedLimits,
    ageMs: nowMs,
    nowMs,
    wallMs: () => 1e12 + time.nowMs,
    ownHost: "entry-1",
    listEntryHosts: () => otherHosts,
    findAgent: () => (hasAgent ? agent : undefined),
    mayHaveAgent: () => hasAgent,
    registry,
  });
  return {
    permits,
    asks,
    time,
    state: (ratePerS: number) =>
      statedLimits.note(
        ENDPOINT,
        { ratePerS, sentAtMs: time.nowMs, heardAtMs: time.nowMs },
        "response",
      ),
  };
}

describe("permits for an endpoint that names a request limit", () => {
  test("are asked of its agent with the limit, and are for one request each", () => {
    const { permits, asks, state } = createPermits();
    state(2);
    expect(permits.isAvailable(ENDPOINT)).toBe(false);
    permits.want(ENDPOINT);
    permits.want(ENDPOINT);
    const { address, startedAtMs } = ENDPOINT;
    const limit = { address, startedAtMs, ratePerS: 2 };
    expect(asks).toMatchObject([{ topic: "permit_ask", count: 1, limit }]);
    permits.onGrant({ topic: "permit_grant", askId: 1, count: 1 });
    expect(permits.isAvailable(ENDPOINT)).toBe(true);
    expect(permits.take(ENDPOINT).confirm()).toBe(true);
    expect(permits.isAvailable(ENDPOINT)).toBe(false);
    expect(permits.take(ENDPOINT).confirm()).toBe(false);
  });

  // Guards against a request that is sent so late that the agent has lent its
  // part of the rate again: after a slow connect, or a pause of this process.
  test("expire, counted from the time of the ask", () => {
    const { permits, time, state } = createPermits();
    state(2);
    permits.want(ENDPOINT);
    time.nowMs += PERMIT_VALID_MS - 1;
    permits.onGrant({ topic: "permit_grant", askId: 1, count: 1 });
    const permit = permits.take(ENDPOINT);
    time.nowMs += 1;
    expect(permit.confirm()).toBe(false);
  });

  test("go back if the request was not sent", () => {
    const { permits, state } = createPermits();
    state(2);
    permits.want(ENDPOINT);
    permits.onGrant({ topic: "permit_grant", askId: 1, count: 1 });
    permits.take(ENDPOINT).release();
    expect(permits.take(ENDPOINT).confirm()).toBe(true);
  });

  // Guards against more permits than were asked for, by a faulty agent.
  test("are taken up to the number that was asked for", () => {
    const { permits, state } = createPermits();
    state(2);
    permits.want(ENDPOINT);
    permits.onGrant({ topic: "permit_grant", askId: 1, count: 900 });
    permits.onGrant({ topic: "permit_grant", askId: 1, count: 900 });
    expect(permits.take(ENDPOINT).confirm()).toBe(true);
    expect(permits.take(ENDPOINT).confirm()).toBe(false);
  });

  test("are not needed before it names a limit and after its end", () => {
    const { permits, time, state } = createPermits();
    expect(permits.take(ENDPOINT).confirm()).toBe(true);
    const connecting = permits.take(ENDPOINT);
    state(2);
    expect(connecting.confirm()).toBe(false);
    time.nowMs += 100;
    state(Infinity);
    expect(connecting.confirm()).toBe(true);
  });

  // Guards against an endpoint without an agent that gets nothing for good.
  test("are taken in turns without an agent, at the named rate", () => {
    const { permits, time, state } = createPermits({ hasAgent: false });
    state(2);
    const sent = Array.from({ length: 1_000 }, () => {
      time.nowMs += 10;
      return permits.isAvailable(ENDPOINT) && permits.take(ENDPOINT).confirm();
    }).filter(Boolean);
    expect(sent.length).toBeGreaterThanOrEqual(20);
    expect(sent.length).toBeLessThanOrEqual(21);
  });

  // Guards against an endpoint that is out of use most of the time because it
  // names a rate above all traffic.
  test("are there when a request comes, at a rate above all traffic", () => {
    const { permits, time, state } = createPermits({
      hasAgent: false,
      otherHosts: ["entry-2", "entry-3", "entry-4"],
    });
    state(100_000);
    const sent = Array.from({ length: 100 }, () => {
      time.nowMs += 100;
      return permits.isAvailable(ENDPOINT) && permits.take(ENDPOINT).confirm();
    }).filter(Boolean);
    expect(sent.length).toBeGreaterThanOrEqual(99);
  });
});

async function start(...args: Parameters<typeof startTestFleet>) {
  const fleet = await startTestFleet(...args);
  closers.push(fleet.close);
  return fleet;
}

const PLAIN: Partial<CallRoute> = { kind: "idempotent", isResumable: false };

/** One request in 50 s, which is more than a test takes. */
const nameLimit: RequestHandler = (request, response, body) => {
  response.setHeader("x-limit", "0.02");
  respondCompletely(request, response, body);
};
const failWithLimit: RequestHandler = (_, response) =>
  response.writeHead(500, { "x-limit": "0.02" }).end("failed");

// Guards against callers that wait for their deadline, or are not told when to
// come back, while every endpoint is limited.
test("what exceeds the limits of all endpoints is rejected at once", async () => {
  const { gateway, endpoints } = await start([nameLimit], { route: PLAIN });
  await call(gateway.url);
  const startedAtMs = performance.now();
  const answers = await Promise.all([1, 2, 3].map(() => call(gateway.url)));
  expect(performance.now() - startedAtMs).toBeLessThan(1_000);
  // One before the limit is known, and one in the turn in which the test runs.
  expect(endpoints[0]!.requests).toHaveLength(2);
  const rejected = answers.filter(({ status }) => status === 503);
  expect(rejected).toHaveLength(2);
  rejected.forEach(({ body, headers }) => {
    expect(body).toBe('{"error":"request_limit"}');
    expect(Number(headers["retry-after"])).toBeGreaterThan(0);
  });
});

test("requests go to endpoints without a limit, and the caller notices nothing", async () => {
  const { gateway, endpoints } = await start([nameLimit, respondCompletely], {
    route: PLAIN,
  });
  const answers = [];
  for (let index = 0; index < 8; index += 1) {
    answers.push(await call(gateway.url));
  }
  expect(answers.every(({ status }) => status === 200)).toBe(true);
  expect(endpoints[0]!.requests).toHaveLength(2);
});

// Guards against retries that are not counted.
test("a retry does not go to an endpoint above its limit", async () => {
  const { gateway, endpoints } = await start([failWithLimit, failWithLimit], {
    route: PLAIN,
    retries: 9,
  });
  for (let index = 0; index < 4; index += 1) await call(gateway.url);
  const counts = endpoints.map(({ requests }) => requests.length);
  expect(Math.max(...counts)).toBeLessThanOrEqual(2);
});
