import { afterEach, beforeEach, expect, test } from "@jest/globals";
import { callTestGateway } from "./testing/caller.ts";
import {
  COMPLETE_STREAM,
  createEvent,
  startTestFleet,
  streamAll,
} from "./testing/fleet.ts";
import type { RequestHandler } from "./testing/fleet.ts";

/** Longer than crashes that count as one. */
const CRASH_DELAY_MS = 120;
/** Longer than an entry waits for the evidence of others. */
const VERDICT_MS = 100;

/** A request with the deadly part ends with its first event. */
const crashOnDeadlyPart: RequestHandler = (request, response, body) => {
  if (body.includes("queued")) return;
  if (!body.includes("deadly")) return streamAll(request, response, body);
  response.writeHead(200, { "content-type": "text/event-stream" });
  response.write(createEvent(1));
  setTimeout(() => request.socket.destroy(), CRASH_DELAY_MS);
};

let fleet: Awaited<ReturnType<typeof startTestFleet>>;

beforeEach(async () => {
  const handlers = Array.from({ length: 8 }, () => crashOnDeadlyPart);
  fleet = await startTestFleet(handlers);
  await Promise.all(Array.from({ length: 50 }, (_, i) => call(["usual"], i)));
});

afterEach(() => fleet.close());

/** Each call has another body. */
function call(parts: readonly string[], index: number) {
  return callTestGateway(
    fleet.gateway.url,
    { "x-parts": parts.join(",") },
    { body: `${parts.join()} ${index}` },
  );
}

const countRequests = () =>
  fleet.endpoints.reduce((sum, { requests }) => sum + requests.length, 0);

// Guards against requests of one kind that crash one endpoint after the other,
// as no two of them are alike.
test("different requests with a part that crashed endpoints are refused, and sound ones beside them served", async () => {
  const crashed = [
    await call(["usual", "deadly"], 1),
    await call(["usual", "deadly"], 2),
  ];
  expect(crashed.every(({ isComplete }) => !isComplete)).toBe(true);
  await wait(VERDICT_MS);
  const before = countRequests();
  const refused = await call(["usual", "deadly"], 3);
  expect(refused.status).toBe(503);
  expect(Number(refused.headers["retry-after"])).toBeGreaterThan(10);
  expect(countRequests()).toBe(before);
  expect(await call(["usual"], 4)).toMatchObject({ body: COMPLETE_STREAM });
});

// Guards against further crashes by requests that wait at an endpoint when their
// part is found, and by the retries of such requests.
test("a waiting request with a part that is found to crash endpoints is ended and not retried", async () => {
  const before = countRequests();
  const waiting = call(["usual", "deadly", "queued"], 1);
  while (countRequests() === before) await wait(5);
  await call(["usual", "deadly"], 2);
  await call(["usual", "deadly"], 3);
  const after = countRequests();
  expect((await waiting).status).toBe(502);
  await wait(50);
  expect(countRequests()).toBe(after);
});

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
