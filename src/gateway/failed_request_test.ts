import { afterEach, expect, test } from "@jest/globals";
import { callTestGateway as call } from "./testing/caller.ts";
import {
  respondCompletely,
  startTestFleet,
  streamAll,
} from "./testing/fleet.ts";

const closers: (() => unknown)[] = [];

afterEach(() => Promise.all(closers.splice(0).map((close) => close())));

async function start(...args: Parameters<typeof startTestFleet>) {
  const fleet = await startTestFleet(...args);
  closers.push(fleet.close);
  return fleet;
}

function fail(): never {
  throw new Error("failed");
}

// These guard against a connection that closes without an answer when an entry
// fails to handle a request.

test("a request that fails before it is sent anywhere is reported as not run", async () => {
  const { gateway, endpoints } = await start([streamAll]);
  Object.assign(gateway.context, { random: fail });
  const response = await call(gateway.url);
  expect(response.status).toBe(503);
  expect(response.headers["retry-after"]).toBeDefined();
  expect(endpoints[0]!.requests).toHaveLength(0);
});

test.each([
  {
    what: "complete response",
    handler: respondCompletely,
    kind: "non_idempotent" as const,
  },
  { what: "stream", handler: streamAll, kind: "stream" as const },
])("a request whose $what cannot be sent gets a 502", async (response) => {
  const { gateway } = await start([response.handler], {
    route: { kind: response.kind, isResumable: false },
  });
  const { codec } = gateway.context;
  Object.assign(gateway.context, {
    codec: { ...codec, writeResponseHeaders: fail },
  });
  const { status, headers } = await call(gateway.url);
  expect(status).toBe(502);
  expect(headers["retry-after"]).toBeUndefined();
});
