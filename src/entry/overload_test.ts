import { expect, test } from "@jest/globals";
import {
  answerJson,
  createTestFleet,
  refuseWith,
} from "./testing/fake_fleet.ts";
import type { AgentBehaviour } from "./testing/fake_fleet.ts";

const PROMPT = { model: "m", prompt: "p" };
const REFUSE_OVERLOADED = refuseWith("overloaded");
const DISCONNECT: AgentBehaviour = (_stream, _request, agent) =>
  agent.disconnect();

// Guards against an unknown outcome because overload refusals, of this request
// or of others, have used up the retry budget.
test("a request that lost its endpoint is retried under overload", async () => {
  const fleet = await createTestFleet({
    agents: ["a", "b", "c"].map((host) => ({
      host,
      behaviour: REFUSE_OVERLOADED,
    })),
  });
  try {
    for (let i = 0; i < 20; i += 1) await fleet.post("/v1/completions", PROMPT);
    const [first, , third] = fleet.agents;
    first!.behaviour = DISCONNECT;
    third!.behaviour = answerJson("ok");
    const response = await fleet.post("/v1/completions", PROMPT);
    expect(response.status).toBe(200);
    const heads = fleet.agents.map(({ requests }) => requests.at(-1)!.head);
    expect(heads.map((head) => head.hasLostEndpoint)).toEqual([
      undefined,
      true,
      true,
    ]);
  } finally {
    await fleet.close();
  }
});
