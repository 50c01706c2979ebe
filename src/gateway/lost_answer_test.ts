/** Lost responses of requests whose prompts have a part in common. */

import { afterEach, expect, test } from "@jest/globals";
import { callTestGateway } from "./testing/caller.ts";
import {
  COMPLETE_STREAM,
  createEvent,
  startTestFleet,
  streamAll,
} from "./testing/fleet.ts";
import type { RequestHandler } from "./testing/fleet.ts";

const closers: (() => unknown)[] = [];

afterEach(() => Promise.all(closers.splice(0).map((close) => close())));

const ENDPOINTS = 8;
/** From then on an entry tells unknown parts from those that have survived. */
const USUAL_REQUESTS = 50;
/** Losses that are further apart do not count as one crash. */
const LOSS_INTERVAL_MS = 120;
/** Longer than an entry waits for the evidence of others. */
const VERDICT_MS = 100;
const PROMPT_PARTS = { "x-parts": "usual,subject" };

const wait = (ms: number) => new Promise((resolve) => setTimeout(resolve, ms));

const respond: RequestHandler = (request, response, body) => {
  if (body.includes("lost")) return void request.socket.resetAndDestroy();
  if (!body.includes("slow")) return streamAll(request, response, body);
  response.writeHead(200, { "content-type": "text/event-stream" });
  [1, 2, 3, 4].forEach((id) =>
    setTimeout(() => {
      response.write(createEvent(id));
      if (id === 4) response.end();
    }, id * 120),
  );
};

/** Each call has another body. */
function createCall(url: string) {
  let calls = 0;
  return (what: string, headers: Readonly<Record<string, string>>) => {
    calls += 1;
    return callTestGateway(url, headers, { body: `${what} ${calls}` });
  };
}

async function start(haveCrashed: boolean) {
  const fleet = await startTestFleet(
    Array.from({ length: ENDPOINTS }, () => respond),
    { route: { maxAttempts: 1 }, mayHaveCrashed: () => haveCrashed },
  );
  closers.push(fleet.close);
  const call = createCall(fleet.gateway.url);
  await Promise.all(
    Array.from({ length: USUAL_REQUESTS }, () =>
      call("usual", { "x-parts": "usual" }),
    ),
  );
  return { ...fleet, call };
}

/** A stream with the part is in progress while two responses are lost. */
async function streamBesideLosses(call: ReturnType<typeof createCall>) {
  const stream = call("slow", PROMPT_PARTS);
  await wait(LOSS_INTERVAL_MS);
  await call("lost", PROMPT_PARTS);
  await wait(LOSS_INTERVAL_MS);
  await call("lost", PROMPT_PARTS);
  await wait(VERDICT_MS);
  const next = await call("next", PROMPT_PARTS);
  return { stream: await stream, next };
}

// Guards against streams at sound endpoints that are ended, and new requests
// that are refused, since the responses of two other requests were lost.
test("requests with a part go on while endpoints that lose responses run on", async () => {
  const { call } = await start(false);
  const { stream, next } = await streamBesideLosses(call);
  expect(stream).toMatchObject({ body: COMPLETE_STREAM, isComplete: true });
  expect(next).toMatchObject({ body: COMPLETE_STREAM, isComplete: true });
});

test("requests with a part are ended and refused once endpoints have crashed", async () => {
  const { call } = await start(true);
  const { stream, next } = await streamBesideLosses(call);
  expect(stream.isComplete).toBe(false);
  expect(next.status).toBe(503);
});

// Guards against a request that is refused since its responses were lost.
test("a request whose responses are lost is sent again while its endpoints run on", async () => {
  const { gateway, endpoints, call } = await start(false);
  const body = "lost again and again";
  const repeats = 6;
  for (let index = 0; index < repeats; index += 1) {
    await callTestGateway(gateway.url, PROMPT_PARTS, { body });
  }
  const arrivals = endpoints.flatMap(({ requests }) => requests).length;
  expect(arrivals).toBe(USUAL_REQUESTS + repeats);
  expect((await call("next", PROMPT_PARTS)).status).toBe(200);
});
