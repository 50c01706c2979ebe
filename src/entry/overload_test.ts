import { expect, test } from "@jest/globals";
import { answerJson, createFleet, refuseWith } from "./testing/fake_fleet.ts";
import type { Behaviour } from "./testing/fake_fleet.ts";

const PROMPT = { model: "m", prompt: "p" };
const REFUSE = refuseWith("overloaded");
const BREAK: Behaviour = (_stream, _request, agent) => agent.disconnect();

// Guards against an unknown outcome because refusals under overload, of other
// requests or of this one, have used up the retries.
test("a request that lost its endpoint is retried under overload", async () => {
  const fleet = await createFleet({
    agents: ["a", "b", "c"].map((host) => ({ host, behaviour: REFUSE })),
  });
  try {
    for (let i = 0; i < 20; i += 1) await fleet.post("/v1/completions", PROMPT);
    const [first, , third] = fleet.agents;
    first!.behaviour = BREAK;
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
