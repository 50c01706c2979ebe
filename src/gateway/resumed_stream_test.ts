/** Streams that break off and get a faulty answer when they are resumed. */

import { afterEach, expect, test } from "@jest/globals";
import { callTestGateway } from "./testing/caller.ts";
import { createEvent, COMPLETE_STREAM } from "./testing/fleet.ts";
import { startTestGateway } from "./testing/mod.ts";
import { startRawEndpoint } from "./testing/raw_endpoint.ts";
import type { RawRequest } from "./testing/raw_endpoint.ts";

const closers: (() => unknown)[] = [];

afterEach(() => Promise.all(closers.splice(0).map((close) => close())));

type RequestHandler = (request: RawRequest) => void;

const STREAM = "content-type: text/event-stream\r\n";
const JSON_TYPE = "content-type: application/json\r\n";

function createResponse(statusLine: string, headers: string, body: string) {
  return `HTTP/1.1 ${statusLine}\r\nx-attempt: a1\r\n${headers}content-length: ${body.length}\r\n\r\n${body}`;
}

function createChunked(events: string) {
  return `HTTP/1.1 200 OK\r\nx-attempt: a1\r\n${STREAM}transfer-encoding: chunked\r\n\r\n${events.length.toString(16)}\r\n${events}\r\n`;
}

const SENT = createEvent(1) + createEvent(2);
const LAST_CHUNK = "0\r\n\r\n";

/** The first part of a stream, by its framing; then the connection closes. */
const FIRST_RUNS: Readonly<Record<string, string>> = {
  chunks: createChunked(SENT),
  "a length": createResponse("200 OK", STREAM, COMPLETE_STREAM).slice(
    0,
    -(COMPLETE_STREAM.length - SENT.length),
  ),
  "neither length nor chunks": `HTTP/1.1 200 OK\r\nx-attempt: a1\r\n${STREAM}\r\n${SENT}id: 3\nda`,
};

const withoutId = (id: number) => `data: t${id}\n\n`;

/** Answers of the next endpoint that do not continue the stream. */
const FAULTY_RUNS: Readonly<Record<string, string>> = {
  "500": createResponse("500 Error", "", "error\n\n"),
  "500 of a stream": createResponse("500 Error", STREAM, createEvent(3)),
  "503 without a mark": createResponse("503 Full", "", "full\n\n"),
  "503 marked as not run": createResponse("503 Full", "x-not-run: 1\r\n", ""),
  "404": createResponse("404 None", "", "none\n\n"),
  "400 of a stream": createResponse("400 Bad", STREAM, createEvent(3)),
  "302": createResponse("302 Found", "location: /\r\n", "moved\n\n"),
  "204": "HTTP/1.1 204 None\r\nx-attempt: a1\r\n\r\n",
  "206 of a stream": createResponse("206 Part", STREAM, createEvent(3)),
  "200 with JSON": createResponse("200 OK", JSON_TYPE, '{"a":1}'),
  "200 with JSON and a blank line": createResponse(
    "200 OK",
    JSON_TYPE,
    '{"a":1}\n\n',
  ),
  "200 that closes after its head": `HTTP/1.1 200 OK\r\nx-attempt: a1\r\n${STREAM}\r\n`,
  "stream from its start": createChunked(COMPLETE_STREAM) + LAST_CHUNK,
  "stream that repeats an event":
    createChunked([2, 3, 4].map(createEvent).join("")) + LAST_CHUNK,
  "stream that skips an event": createChunked(createEvent(4)) + LAST_CHUNK,
  "stream without ids":
    createChunked([3, 4].map(withoutId).join("")) + LAST_CHUNK,
  "bytes that are no response": "what?\r\n\r\n",
};

const breakOff =
  (run: string): RequestHandler =>
  ({ socket }) => {
    socket.write(run);
    setTimeout(() => socket.destroy(), 20);
  };
const respond =
  (response: string): RequestHandler =>
  ({ socket }) =>
    socket.end(response);
const continueStream: RequestHandler = ({ socket, text }) => {
  expect(text).toContain("x-last: 2\r\n");
  socket.write(createChunked(createEvent(3) + createEvent(4)) + LAST_CHUNK);
};

async function callFleet(
  handlers: readonly RequestHandler[],
  maxAttempts: number,
) {
  const endpoints = await Promise.all(handlers.map(startRawEndpoint));
  const gateway = await startTestGateway({
    endpoints,
    route: { kind: "stream", isResumable: true, maxAttempts },
  });
  closers.push(gateway.close, ...endpoints.map(({ close }) => close));
  return callTestGateway(gateway.url);
}

const cases = Object.keys(FIRST_RUNS).flatMap((framing) =>
  Object.keys(FAULTY_RUNS).map((answer) => ({ framing, answer })),
);

// Guards against an error in the middle of a stream, events of two runs that
// are joined wrongly, and a broken stream that ends as if it were complete.
test.each(cases)(
  "a stream with $framing that breaks off is not continued by a $answer",
  async ({ framing, answer }) => {
    const handlers = [
      breakOff(FIRST_RUNS[framing]!),
      respond(FAULTY_RUNS[answer]!),
    ];
    expect(await callFleet(handlers, 2)).toMatchObject({
      status: 200,
      body: SENT,
      isComplete: false,
    });
  },
);

test.each(cases)(
  "a stream with $framing that breaks off is continued at a third endpoint after a $answer",
  async ({ framing, answer }) => {
    const handlers = [
      breakOff(FIRST_RUNS[framing]!),
      respond(FAULTY_RUNS[answer]!),
      continueStream,
    ];
    expect(await callFleet(handlers, 3)).toMatchObject({
      status: 200,
      body: COMPLETE_STREAM,
      isComplete: true,
    });
  },
);

test("a stream whose events have no ids is not sent from its start once more", async () => {
  let runs = 0;
  const events = [1, 2].map(withoutId).join("");
  const next: RequestHandler = ({ socket }) => {
    runs += 1;
    socket.write(createChunked(events) + LAST_CHUNK);
  };
  const first = breakOff(createChunked(events));
  expect(await callFleet([first, next], 2)).toMatchObject({
    body: events,
    isComplete: false,
  });
  expect(runs).toBe(0);
});

// Guards against a length of the first run that the joined runs do not have:
// bytes beyond it, or the next response on the connection in place of the rest.
test.each([
  { what: "shorter", declaredBytes: COMPLETE_STREAM.length + 10 },
  { what: "longer", declaredBytes: COMPLETE_STREAM.length - 10 },
])(
  "a stream that becomes $what than its first endpoint declared is framed correctly",
  async ({ declaredBytes }) => {
    const head = `HTTP/1.1 200 OK\r\nx-attempt: a1\r\n${STREAM}content-length: ${declaredBytes}\r\n\r\n`;
    const handlers = [breakOff(head + SENT), continueStream];
    expect(await callFleet(handlers, 2)).toMatchObject({
      body: COMPLETE_STREAM,
      isComplete: true,
    });
  },
);
