/** Set-up and agent behaviours that the fault tests of the entry share. */

import { afterEach } from "@jest/globals";
import {
  answerJson,
  DONE,
  FINISH,
  formatEvent,
  sendHead,
  createFleet,
} from "./fake_fleet.ts";
import type {
  AgentPlace,
  Behaviour,
  Fleet,
  FleetOptions,
} from "./fake_fleet.ts";

export const PROMPT = { model: "m", prompt: "p" };
export const TEXT = [formatEvent("a"), formatEvent("b"), formatEvent("c")];
export const OK = answerJson("ok");

/** Returns a function that starts fleets, which are closed after each test. */
export function useFleets() {
  const fleets: Fleet[] = [];
  afterEach(async () => {
    await Promise.all(fleets.splice(0).map((fleet) => fleet.close()));
  });
  return async (options: FleetOptions): Promise<Fleet> => {
    const fleet = await createFleet(options);
    fleets.push(fleet);
    return fleet;
  };
}

export function createAgents(
  ...behaviours: readonly Behaviour[]
): AgentPlace[] {
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

/** Breaks the connection after these events. */
export function breakAfter(events: readonly string[]): Behaviour {
  return async (stream, _, agent) => {
    if (events.length > 0) sendHead(stream);
    for (const event of events) await stream.write(Buffer.from(event));
    // The written frames leave at the end of this turn of the event loop.
    setImmediate(() => setImmediate(() => agent.disconnect()));
  };
}

/** Continues after the text in `resume`, as another completion. */
export const continueText: Behaviour = async (stream, { head }) => {
  sendHead(stream);
  const role = { index: 0, delta: { role: "assistant", content: "" } };
  const opening = { id: "c2", choices: [role] };
  await stream.write(Buffer.from(`data: ${JSON.stringify(opening)}\n\n`));
  const rest = "abc".slice(head.resume?.text.length ?? 0);
  for (const letter of rest) {
    await stream.write(Buffer.from(formatEvent(letter, "c2")));
  }
  await stream.write(Buffer.from(FINISH + DONE));
  stream.end({ outcome: "answered" });
};

/** Breaks the connection after the agent has accepted the request. */
export const ACCEPT_THEN_BREAK: Behaviour = (stream, request, agent) => {
  stream.send({ kind: "accepted", incarnation: "i" });
  return breakAfter([])(stream, request, agent);
};
