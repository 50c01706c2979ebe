/** Set-up and agent behaviours shared by the fault tests of the entry. */

import { afterEach } from "@jest/globals";
import {
  answerJson,
  DONE_EVENT,
  FINISH_EVENT,
  formatEvent,
  sendHead,
  createTestFleet,
} from "./fake_fleet.ts";
import type {
  FakeAgentOptions,
  AgentBehaviour,
  TestFleet,
  TestFleetOptions,
} from "./fake_fleet.ts";

export const PROMPT = { model: "m", prompt: "p" };
export const TOKEN_EVENTS = [
  formatEvent("a"),
  formatEvent("b"),
  formatEvent("c"),
];
export const ANSWER_OK = answerJson("ok");

/** Returns a function that starts test fleets; closes them after each test. */
export function useTestFleets() {
  const fleets: TestFleet[] = [];
  afterEach(async () => {
    await Promise.all(fleets.splice(0).map((fleet) => fleet.close()));
  });
  return async (options: TestFleetOptions): Promise<TestFleet> => {
    const fleet = await createTestFleet(options);
    fleets.push(fleet);
    return fleet;
  };
}

export function createAgents(
  ...behaviours: readonly AgentBehaviour[]
): FakeAgentOptions[] {
  return behaviours.map((behaviour, index) => ({
    host: "abcd"[index]!,
    behaviour,
  }));
}

export async function readError(response: Response) {
  const body = (await response.json()) as {
    error: Record<string, string | number | null>;
  };
  return {
    status: response.status,
    outcome: response.headers.get("zinniaspur-outcome"),
    code: body.error["code"],
    bodyOutcome: body.error["outcome"],
    hasRetryAfter: response.headers.has("retry-after"),
  };
}

/** Closes the connection after these events. */
export function disconnectAfter(events: readonly string[]): AgentBehaviour {
  return async (stream, _, agent) => {
    if (events.length > 0) sendHead(stream);
    for (const event of events) await stream.write(Buffer.from(event));
    // The frames are written to the socket at the end of this event-loop iteration.
    setImmediate(() => setImmediate(() => agent.disconnect()));
  };
}

/** Continues after the text in `resume`, under another completion id. */
export const continueText: AgentBehaviour = async (stream, { head }) => {
  sendHead(stream);
  const role = { index: 0, delta: { role: "assistant", content: "" } };
  const opening = { id: "c2", choices: [role] };
  await stream.write(Buffer.from(`data: ${JSON.stringify(opening)}\n\n`));
  const rest = "abc".slice(head.resume?.text.length ?? 0);
  for (const letter of rest) {
    await stream.write(Buffer.from(formatEvent(letter, "c2")));
  }
  await stream.write(Buffer.from(FINISH_EVENT + DONE_EVENT));
  stream.end({ outcome: "answered" });
};

/** Accepts the request and then closes the connection. */
export const acceptThenDisconnect: AgentBehaviour = (
  stream,
  request,
  agent,
) => {
  stream.send({ kind: "accepted", incarnation: "i" });
  return disconnectAfter([])(stream, request, agent);
};
