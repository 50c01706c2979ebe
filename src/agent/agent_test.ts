import { describe, expect, test } from "@jest/globals";
import { sendRequest, DIGEST_1, useHarness } from "./testing/mod.ts";

const start = useHarness();

describe("agent", () => {
  // Guards against changes to the request or the answer in transit.
  test("forwards a request to the engine and returns its answer", async () => {
    const { entry, engine } = await start();
    const reply = await sendRequest(
      entry,
      { requestId: "q1", priority: 3, resume: { text: "abc", tokens: 2 } },
      '{"model":"m","prompt":"p"}',
    );
    expect(reply).toMatchObject({
      accepted: true,
      body: '{"ok":true}',
      trailer: { outcome: "answered" },
      head: { status: 200, versionDigest: DIGEST_1 },
    });
    expect(JSON.parse(engine.requests[0]!.body)).toEqual({
      model: "m",
      prompt: "p",
      request_id: "q1",
      priority: 3,
      resume: { text: "abc", tokens: 2 },
    });
  });

  // Guards against an engine that cannot fetch the weights of a load order.
  test("serves health, status and weights over HTTP", async () => {
    const { agent, weights } = await start();
    const base = `http://${agent.httpAddress()}`;
    const path = `${base}/v1/weights/${DIGEST_1}`;
    expect((await fetch(`${base}/healthz`)).status).toBe(200);
    expect((await fetch(`${base}/readyz`)).status).toBe(200);
    expect((await fetch(path)).status).toBe(404);
    weights.complete(DIGEST_1);
    expect(await (await fetch(path)).text()).toBe("abcdef");
    expect(await (await fetch(`${path}/manifest`)).text()).toBe("{}");
    expect(await (await fetch(`${base}/metrics`)).text()).toContain(
      "zinniaspur_agent_limit",
    );
    expect(await (await fetch(`${base}/status`)).json()).toMatchObject({
      phase: "warm",
      servingDigest: DIGEST_1,
    });
  });
});
