/**
 * Streams without length whose endpoint cannot be asked about their end, as it
 * has left or crashed since.
 */

import { afterEach, expect, test } from "@jest/globals";
import { callTestGateway } from "./testing/caller.ts";
import { createEvent, COMPLETE_STREAM } from "./testing/fleet.ts";
import { startTestGateway } from "./testing/mod.ts";
import { startRawEndpoint } from "./testing/raw_endpoint.ts";

const closers: (() => unknown)[] = [];

afterEach(() => Promise.all(closers.splice(0).map((close) => close())));

const HEAD =
  "HTTP/1.1 200 OK\r\nx-attempt: a1\r\ncontent-type: text/event-stream\r\n\r\n";
const ERROR_HEAD =
  "HTTP/1.1 500 Error\r\nx-attempt: a1\r\ncontent-type: text/plain\r\n\r\n";
const NO_EVENTS = "";
const FIRST_TWO = [1, 2].map(createEvent).join("");

interface Run {
  readonly head?: string;
  /** The body. */
  readonly events: string;
  /** True if the endpoint no longer runs after it has closed the connection. */
  readonly isGone?: boolean;
}

/** Each endpoint answers with one of these runs, in turn. */
async function callFleet(
  runs: readonly Run[],
  headers: Readonly<Record<string, string>> = {},
) {
  const left = [...runs];
  const gone = new Set<string>();
  const endpoints = await Promise.all(
    runs.map((_, index) =>
      startRawEndpoint(({ socket }) => {
        const { head = HEAD, events, isGone } = left.shift()!;
        if (isGone === true) gone.add(`e${index}`);
        socket.end(head + events);
      }),
    ),
  );
  const gateway = await startTestGateway({
    endpoints,
    route: { kind: "stream", isResumable: true, maxAttempts: runs.length },
    isEndConfirmed: (id) => !gone.has(id),
  });
  closers.push(gateway.close, ...endpoints.map(({ close }) => close));
  return callTestGateway(gateway.url, headers);
}

// Guards against a whole stream that is passed on as broken off, since its
// endpoint has exited as planned before it can be asked.
test("a stream is complete if another endpoint has nothing after its last event", async () => {
  const runs = [
    { events: COMPLETE_STREAM, isGone: true },
    { events: NO_EVENTS },
  ];
  expect(await callFleet(runs)).toMatchObject({
    body: COMPLETE_STREAM,
    isComplete: true,
  });
});

// Guards against a cut stream that looks complete, since the kernel of a killed
// endpoint closes its connections in the same way.
test("a stream is continued if another endpoint has events after the last one", async () => {
  const runs = [
    { events: FIRST_TWO, isGone: true },
    { events: [3, 4].map(createEvent).join("") },
  ];
  expect(await callFleet(runs)).toMatchObject({
    body: COMPLETE_STREAM,
    isComplete: true,
  });
});

test.each([
  {
    what: "the second endpoint is gone as well",
    runs: [
      { events: FIRST_TWO, isGone: true },
      { events: NO_EVENTS, isGone: true },
    ],
  },
  {
    what: "the second run ends before its first event",
    runs: [{ events: NO_EVENTS }, { events: NO_EVENTS }],
  },
  {
    what: "all three endpoints are gone",
    runs: [
      { events: FIRST_TWO, isGone: true },
      { events: createEvent(3), isGone: true },
      { events: NO_EVENTS, isGone: true },
    ],
  },
])("a stream does not look complete if $what", async ({ runs }) => {
  const response = await callFleet(runs);
  expect(response.status === 200 && response.isComplete).toBe(false);
});

// Guards against a caller that resumes a stream after its last event, and gets
// a broken stream each time.
test("a stream that a caller resumes after its last event ends once two endpoints have nothing to add", async () => {
  const runs = [{ events: NO_EVENTS }, { events: NO_EVENTS }];
  expect(await callFleet(runs, { "x-last": "4" })).toMatchObject({
    status: 200,
    body: "",
    isComplete: true,
  });
});

// Guards against an error without length that counts as the end of a stream.
test("a stream that a caller resumes does not end after an error and a run without events", async () => {
  const runs = [{ head: ERROR_HEAD, events: "error" }, { events: NO_EVENTS }];
  const response = await callFleet(runs, { "x-last": "4" });
  expect(response.status === 200 && response.isComplete).toBe(false);
});
