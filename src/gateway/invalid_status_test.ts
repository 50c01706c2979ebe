import { afterEach, expect, test } from "@jest/globals";
import type { CallRoute } from "../directory/mod.ts";
import { callTestGateway as call } from "./testing/caller.ts";
import {
  COMPLETE_STREAM,
  createEvent,
  respondCompletely,
  startTestFleet,
  streamAll,
} from "./testing/fleet.ts";
import type { RequestHandler } from "./testing/fleet.ts";

const closers: (() => unknown)[] = [];

afterEach(() => Promise.all(closers.splice(0).map((close) => close())));

async function start(...args: Parameters<typeof startTestFleet>) {
  const fleet = await startTestFleet(...args);
  closers.push(fleet.close);
  return fleet;
}

const INVALID_STATUSES = ["000", "0", "099", "20", "2000", "101", "600", "999"];
const IDEMPOTENT: Partial<CallRoute> = {
  kind: "idempotent",
  isResumable: false,
};
const NON_IDEMPOTENT: Partial<CallRoute> = {
  kind: "non_idempotent",
  isResumable: false,
};

function createInvalidResponse(status: string): RequestHandler {
  return (request) => {
    request.socket.write(
      `HTTP/1.1 ${status} OK\r\nx-attempt: a1\r\ncontent-length: 5\r\n\r\nwrong`,
    );
  };
}

test.each(INVALID_STATUSES)(
  "a body with status %s is not taken for the response to an idempotent request",
  async (status) => {
    const { gateway, endpoints } = await start(
      [createInvalidResponse(status), respondCompletely],
      { route: IDEMPOTENT },
    );
    const startedAtMs = performance.now();
    expect(await call(gateway.url)).toMatchObject({
      status: 200,
      body: "whole",
    });
    expect(performance.now() - startedAtMs).toBeLessThan(1_000);
    expect(endpoints[1]!.requests).toHaveLength(1);
  },
);

test.each(INVALID_STATUSES)(
  "a request that may have run is not repeated or called refused after status %s",
  async (status) => {
    const { gateway, endpoints } = await start(
      [createInvalidResponse(status), respondCompletely],
      { route: NON_IDEMPOTENT },
    );
    const startedAtMs = performance.now();
    const answer = await call(gateway.url);
    expect(answer.status).toBe(502);
    expect(answer.body).not.toContain("wrong");
    expect(performance.now() - startedAtMs).toBeLessThan(1_000);
    expect(endpoints[1]!.requests).toHaveLength(0);
  },
);

test.each(INVALID_STATUSES)(
  "a stream is not continued by a body with status %s",
  async (status) => {
    const breakOff: RequestHandler = (_, response) => {
      response.writeHead(200, { "content-type": "text/event-stream" });
      response.write(createEvent(1));
      setTimeout(() => response.destroy(), 20);
    };
    const { gateway } = await start(
      [breakOff, createInvalidResponse(status), streamAll],
      { route: { kind: "stream", isResumable: true, maxAttempts: 3 } },
    );
    expect(await call(gateway.url)).toMatchObject({
      status: 200,
      body: COMPLETE_STREAM,
    });
  },
);

test.each(["000", "999"])(
  "an endpoint that answers with status %s is not taken for a healthy one",
  async (status) => {
    const { gateway } = await start(
      [createInvalidResponse(status), respondCompletely],
      { route: IDEMPOTENT },
    );
    await call(gateway.url);
    expect(gateway.context.health.failureRate("e0")).toBeGreaterThan(0);
  },
);
