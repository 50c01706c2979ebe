/** Streams that break off and get a faulty answer when they are continued. */

import { describe, expect, test } from "@jest/globals";
import {
  API_KEY,
  DONE_EVENT,
  formatEvent,
  readContent,
  refuseWith,
  sendHead,
  streamEvents,
} from "./testing/fake_fleet.ts";
import type { AgentBehaviour } from "./testing/fake_fleet.ts";
import {
  continueText,
  createAgents,
  disconnectAfter,
  PROMPT,
  TOKEN_EVENTS,
  useTestFleets,
} from "./testing/fault_cases.ts";

const startFleet = useTestFleets();

const ERROR_BODY = '{"error":{"message":"engine failed"}}';

function answerWith(
  head: { readonly status?: number; readonly type?: string },
  body: string,
): AgentBehaviour {
  return async (stream) => {
    sendHead(stream, head);
    await stream.write(Buffer.from(body));
    stream.end({ outcome: "answered" });
  };
}

const EVENTS = "text/event-stream";
const JSON_TYPE = "application/json";

const FAULTY_ANSWERS: Readonly<Record<string, AgentBehaviour>> = {
  "500": answerWith({ status: 500, type: JSON_TYPE }, ERROR_BODY),
  "500 of a stream": answerWith(
    { status: 500, type: EVENTS },
    formatEvent("x"),
  ),
  "404": answerWith({ status: 404, type: JSON_TYPE }, ERROR_BODY),
  "200 with JSON": answerWith({ type: JSON_TYPE }, ERROR_BODY),
  "200 with JSON and a blank line": answerWith(
    { type: JSON_TYPE },
    `${ERROR_BODY}\n\n`,
  ),
  "206 of a stream": answerWith(
    { status: 206, type: EVENTS },
    formatEvent("x"),
  ),
  "stream without events": streamEvents([]),
  "stream that ends within an event": streamEvents([
    formatEvent("c").slice(0, 30),
  ]),
  "stream with an error": streamEvents([`data: ${ERROR_BODY}\n\n`, DONE_EVENT]),
  "stream with an error event": streamEvents([
    `event: error\ndata: ${ERROR_BODY}\n\n`,
    DONE_EVENT,
  ]),
  refusal: refuseWith("overloaded"),
};

const cases = Object.keys(FAULTY_ANSWERS).map((answer) => ({ answer }));

// Guards against an error of an engine in the middle of a stream, and against a
// broken stream that ends as if it were complete.
describe("a stream that breaks off and is continued", () => {
  async function callFleet(...behaviours: readonly AgentBehaviour[]) {
    const first = disconnectAfter(TOKEN_EVENTS.slice(0, 2));
    const fleet = await startFleet({
      agents: createAgents(first, ...behaviours),
    });
    const body = { ...PROMPT, stream: true };
    return (await fleet.post("/v1/completions", body)).text();
  }

  test.each(cases)("by a $answer ends as broken off", async ({ answer }) => {
    const text = await callFleet(FAULTY_ANSWERS[answer]!);
    expect(readContent(text)).toBe("ab");
    expect(text).not.toContain("engine failed");
    expect(text).not.toContain("[DONE]");
    expect(text.split("event: error\n")).toHaveLength(2);
  });

  test("after a refusal is continued at a third endpoint", async () => {
    const text = await callFleet(FAULTY_ANSWERS["refusal"]!, continueText);
    expect(readContent(text)).toBe("abc");
    expect(text.endsWith(DONE_EVENT)).toBe(true);
  });
});

// Guards against a part of an event that is dropped from a stream which then
// ends as if it were complete.
test("a plain service's stream that ends within an event ends as broken off", async () => {
  const agents = createAgents(
    streamEvents(["data: 1\n\ndata: 2\n"]),
    streamEvents(["data: 1\n\ndata: 2\n\n"]),
  ).map((agent) => ({ ...agent, service: "booking" }));
  const fleet = await startFleet({ agents });
  const response = await fetch(`${fleet.url}/services/booking/bookings/1`, {
    headers: { authorization: `Bearer ${API_KEY}` },
  });
  const text = await response.text();
  expect(text.split("event: error\n")[0]).toBe("data: 1\n\n");
  expect(text).toContain('"code":"connection_lost"');
});
