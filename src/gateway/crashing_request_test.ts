/** Requests that crash each endpoint that runs them, and come again. */

import { afterEach, expect, test } from "@jest/globals";
import {
  createEndpoint,
  createEndpointChange,
} from "../directory/testing/mod.ts";
import { callTestGateway as call } from "./testing/caller.ts";
import { resetAtOnce, startTestFleet } from "./testing/fleet.ts";

const closers: (() => unknown)[] = [];

afterEach(() => Promise.all(closers.splice(0).map((close) => close())));

/** Longer than a first quarantine. */
const PAUSE_MS = 31_000;

async function start(endpointCount: number, maxAttempts: number) {
  const handlers = Array.from({ length: endpointCount }, () => resetAtOnce);
  let skippedMs = 0;
  // Records of crashes have expiries in wall time.
  const wallMs = Date.now;
  Date.now = () => wallMs() + skippedMs;
  const fleet = await startTestFleet(handlers, { route: { maxAttempts } });
  closers.push(fleet.close, () => (Date.now = wallMs));
  let revision = 1;
  return {
    ...fleet,
    skip: (ms: number) => void (skippedMs += ms),
    /** All endpoints have started again, with new ids. */
    restart() {
      const { directory } = fleet.gateway.context;
      revision += 1;
      const changes = fleet.endpoints.flatMap(({ address }, index) => [
        {
          type: "endpoint" as const,
          ...{ revision, id: `e${index}`, endpoint: undefined },
        },
        createEndpointChange(
          createEndpoint({
            ...{ id: `r${revision}-${index}`, address },
            models: [{ name: "m", version: 1 }],
          }),
          revision,
        ),
        {
          type: "endpoint" as const,
          ...{ revision, id: `r${revision - 1}-${index}`, endpoint: undefined },
        },
      ]);
      directory.apply(changes, { revision });
    },
    countArrivals: () =>
      fleet.endpoints.reduce((sum, { requests }) => sum + requests.length, 0),
  };
}

// Guards against a request that crashes all endpoints of a service every 30 s
// for as long as it comes.
test("a request that crashes an endpoint after its quarantine is let through once", async () => {
  const fleet = await start(4, 3);
  const { gateway } = fleet;
  expect((await call(gateway.url)).status).toBe(502);
  expect((await call(gateway.url)).status).toBe(503);
  fleet.skip(PAUSE_MS);
  fleet.restart();
  const before = fleet.countArrivals();
  expect((await call(gateway.url)).status).toBe(502);
  for (let count = 0; count < 5; count += 1) {
    fleet.skip(PAUSE_MS);
    fleet.restart();
    expect((await call(gateway.url)).status).toBe(503);
  }
  expect(fleet.countArrivals() - before).toBe(1);
});

// Guards against a service with a single endpoint that is never protected: each
// of its crashes counted as the same one.
test("crashes of one endpoint that starts again count one by one", async () => {
  const fleet = await start(1, 1);
  const { gateway } = fleet;
  for (let count = 0; count < 3; count += 1) {
    expect((await call(gateway.url)).status).toBe(502);
    fleet.restart();
  }
  expect((await call(gateway.url)).status).toBe(503);
  expect(fleet.countArrivals()).toBe(3);
});
