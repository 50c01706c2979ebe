import { describe, expect, test } from "@jest/globals";
import { err, ok } from "neverthrow";
import { runAgent } from "./mod.ts";
import type { AgentSettings } from "./mod.ts";
import { createFakeWeights } from "./testing/fake_weights.ts";
import { DIGEST_1, ask, useRigs } from "./testing/mod.ts";

const start = useRigs();

describe("agent", () => {
  // Guards against a change of the request or of the answer on its way.
  test("passes a request to the engine and its answer back", async () => {
    const { entry, engine } = await start();
    const reply = await ask(
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

  // Guards against an engine that cannot read the weights it is ordered to load.
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
      version_digest: DIGEST_1,
    });
  });
});

describe("binary", () => {
  const finding = { file: "f", line: 1, column: 1, path: "p" };
  const good = ["--settings", "good"];
  const bad = ["--settings", "bad"];
  const cases = [
    { args: ["--help"], code: 0 },
    { args: ["--version"], code: 0 },
    { args: [...good, "--check"], code: 0 },
    { args: [...bad, "--check"], code: 1 },
    { args: bad, code: 1 },
    { args: [], code: 2 },
    { args: [...good, "--unknown"], code: 2 },
    { args: good, code: 0, isStarted: true },
  ];
  // Guards against exit codes that scripts cannot rely on, and against a
  // SIGTERM that does not end the process.
  test.each(cases)(
    "$args exits with $code",
    async ({ args, code, isStarted }) => {
      const { fake, engine } = await start();
      const settings = {
        service: "assistant",
        httpAddress: "127.0.0.1:0",
        endpointUrl: engine.url,
        drainTimeoutMs: 1_000,
      } as AgentSettings;
      let starts = 0;
      const exit = await runAgent(["node", "agent", ...args], {
        version: "0",
        loadSettings: (file) =>
          Promise.resolve(
            file === "good"
              ? ok(settings)
              : err([{ ...finding, message: "m", fix: "x" }]),
          ),
        startNode() {
          starts += 1;
          return Promise.resolve(fake.node);
        },
        createWeights() {
          setImmediate(() => process.emit("SIGTERM"));
          return createFakeWeights(() => undefined);
        },
      });
      expect(exit).toBe(code);
      expect(starts).toBe(isStarted === true ? 1 : 0);
    },
  );
});
