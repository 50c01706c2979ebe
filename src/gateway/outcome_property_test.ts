/** Property tests of the outcome that callers see under endpoint faults. */

import { afterAll, expect, test } from "@jest/globals";
import fc from "fast-check";
import type { CallRoute } from "../directory/mod.ts";
import { callTestGateway } from "./testing/caller.ts";
import { startTestEndpoint, startTestGateway } from "./testing/mod.ts";

type RequestHandler = Parameters<typeof startTestEndpoint>[0];

/** Behaviours of an endpoint. All except NOT_RUN_FAULTS run the request. */
const FAULTS: Readonly<Record<string, RequestHandler>> = {
  whole: (_, response) => response.end("whole"),
  shed: (_, response) => response.writeHead(503, { "x-not-run": "1" }).end(),
  misdirected: (_, response) => response.writeHead(421).end(),
  failed: (_, response) => response.writeHead(500).end("failed"),
  reset: (request) => request.socket.resetAndDestroy(),
  cut_off: (request, response) => {
    response.writeHead(200, { "content-length": "5" });
    response.write("who");
    setTimeout(() => request.socket.destroy(), 5);
  },
  unframed_reset: (request) => {
    request.socket.write(
      "HTTP/1.1 200 OK\r\nx-attempt: a1\r\nconnection: close\r\n\r\nwho",
    );
    setTimeout(() => request.socket.resetAndDestroy(), 5);
  },
  foreign: (_, response) => response.setHeader("x-attempt", "a0").end("other"),
  no_http: (request) => request.socket.end("what?\r\n\r\n"),
};
const NOT_RUN_FAULTS: ReadonlySet<string> = new Set(["shed", "misdirected"]);
const MAX_ATTEMPTS = 2;
const ENDPOINTS = 4;
/** Statuses which state that the request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const closers: (() => unknown)[] = [];
afterAll(() => Promise.all(closers.map((close) => close())));

/** Starts a gateway whose endpoints behave as listed for each call. */
async function startFaultyFleet(route: Partial<CallRoute>) {
  const faults: string[] = [];
  const handledFaults: string[] = [];
  const endpoints = await Promise.all(
    Array.from({ length: ENDPOINTS }, (_, index) =>
      startTestEndpoint((request, response, body) => {
        const fault = faults[index]!;
        handledFaults.push(fault);
        FAULTS[fault]!(request, response, body);
      }),
    ),
  );
  const gateway = await startTestGateway({
    endpoints,
    route: { ...route, maxAttempts: MAX_ATTEMPTS },
    retries: 1_000_000,
  });
  closers.push(gateway.close, ...endpoints.map(({ close }) => close));
  let calls = 0;

  async function sendCall(next: readonly string[]) {
    faults.splice(0, faults.length, ...next);
    handledFaults.splice(0);
    calls += 1;
    // A distinct body, so that calls do not share a quarantine fingerprint.
    const response = await callTestGateway(
      gateway.url,
      {},
      {
        body: `body ${calls}`,
      },
    );
    return { ...response, handledFaults: [...handledFaults] };
  }
  return { sendCall };
}

const anyFaults = fc.array(fc.constantFrom(...Object.keys(FAULTS)), {
  minLength: ENDPOINTS,
  maxLength: ENDPOINTS,
});

test("a non-idempotent request runs at most once and is never wrongly reported as not run", async () => {
  const fleet = await startFaultyFleet({
    kind: "non_idempotent",
    isResumable: false,
  });
  await fc.assert(
    fc.asyncProperty(anyFaults, async (faults) => {
      const { status, body, handledFaults } = await fleet.sendCall(faults);
      const runs = handledFaults.filter(
        (fault) => !NOT_RUN_FAULTS.has(fault),
      ).length;
      expect(runs).toBeLessThanOrEqual(1);
      if (NOT_RUN_STATUSES.has(status)) expect(runs).toBe(0);
      if (status === 200) expect(body).toBe("whole");
    }),
    { numRuns: 150 },
  );
});

test("an idempotent request gets a complete response or an error, and runs at most maxAttempts times", async () => {
  const fleet = await startFaultyFleet({
    kind: "idempotent",
    isResumable: false,
  });
  await fc.assert(
    fc.asyncProperty(anyFaults, async (faults) => {
      const { status, body, handledFaults } = await fleet.sendCall(faults);
      const runs = handledFaults.filter(
        (fault) => !NOT_RUN_FAULTS.has(fault),
      ).length;
      expect(runs).toBeLessThanOrEqual(MAX_ATTEMPTS);
      if (NOT_RUN_STATUSES.has(status)) expect(runs).toBe(0);
      if (status === 200) expect(body).toBe("whole");
    }),
    { numRuns: 150 },
  );
});
