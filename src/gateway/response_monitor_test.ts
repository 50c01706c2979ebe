import { afterEach, expect, test } from "@jest/globals";
import { createEvent, startTestFleet, streamAll } from "./testing/fleet.ts";
import type { RequestHandler } from "./testing/fleet.ts";
import {
  createRawRequest,
  openRawConnection,
} from "./testing/raw_connection.ts";

const closers: (() => unknown)[] = [];

afterEach(() => Promise.all(closers.splice(0).map((close) => close())));

async function start(handler: RequestHandler) {
  const fleet = await startTestFleet([handler], {
    route: { isResumable: false },
  });
  closers.push(fleet.close);
  const connection = await openRawConnection(fleet.gateway.url);
  closers.push(() => connection.socket.destroy());
  const counter = fleet.gateway.context.registry.counter(
    "unanswered_requests_total",
    "",
  );
  return {
    ...fleet,
    connection,
    countUnanswered: () =>
      counter.samples().map(({ labels, value }) => [labels["reason"], value]),
  };
}

async function waitUntil(isTrue: () => boolean) {
  while (!isTrue()) await new Promise((resolve) => setTimeout(resolve, 5));
}

const beginStream: RequestHandler = (_, response) => {
  response.writeHead(200, { "content-type": "text/event-stream" });
  response.write(createEvent(1));
};

const breakOff: RequestHandler = (request, response, body) => {
  beginStream(request, response, body);
  setTimeout(() => request.socket.destroy(), 20);
};

// These guard against responses that end without a trace of the reason: those
// that this entry cuts looked like callers that had left.

test("a response that this entry breaks off is counted with the entry's reason", async () => {
  const { connection, countUnanswered } = await start(breakOff);
  connection.socket.write(createRawRequest("body"));
  await connection.closed;
  await waitUntil(() => countUnanswered().length > 0);
  expect(countUnanswered()).toEqual([["lost", 1]]);
});

test("a response whose caller leaves is counted as such", async () => {
  const { connection, countUnanswered } = await start(beginStream);
  connection.socket.write(createRawRequest("body"));
  await waitUntil(() => connection.received().includes("data: t1"));
  connection.socket.destroy();
  await waitUntil(() => countUnanswered().length > 0);
  expect(countUnanswered()).toEqual([["caller_left", 1]]);
});

test("a response that is in progress when the entry stops is counted as such", async () => {
  const { connection, countUnanswered, gateway } = await start(beginStream);
  connection.socket.write(createRawRequest("body"));
  await waitUntil(() => connection.received().includes("data: t1"));
  gateway.callerServer.close();
  await waitUntil(() => countUnanswered().length > 0);
  expect(countUnanswered()).toEqual([["shutdown", 1]]);
});

test("complete responses are not counted", async () => {
  const { connection, countUnanswered } = await start(streamAll);
  connection.socket.write(createRawRequest("body"));
  await waitUntil(() => connection.received().endsWith("0\r\n\r\n"));
  connection.socket.write(createRawRequest("body"));
  await waitUntil(() => connection.received().split("HTTP/1.1").length === 3);
  connection.socket.destroy();
  await connection.closed;
  await new Promise((resolve) => setTimeout(resolve, 50));
  expect(countUnanswered()).toEqual([]);
});
