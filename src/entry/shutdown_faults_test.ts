import { describe, expect, test } from "@jest/globals";
import {
  createDeferred,
  DONE_EVENT,
  FINISH_EVENT,
  readContent,
  refuseWith,
  sendHead,
} from "./testing/fake_fleet.ts";
import {
  createAgents,
  ANSWER_OK,
  PROMPT,
  readError,
  TOKEN_EVENTS,
  useTestFleets,
} from "./testing/fault_cases.ts";

const startFleet = useTestFleets();

describe("entry that must not accept requests", () => {
  // Guards against dispatch by an outdated view after a pause of the process.
  test("refuses new requests and retries after a pause", async () => {
    const fleet = await startFleet({
      agents: createAgents(ANSWER_OK, ANSWER_OK),
    });
    fleet.agents[0]!.behaviour = (stream) => {
      fleet.view.isRecoveringFromPause = true;
      stream.end({ outcome: "not_run", code: "overloaded" });
    };
    expect((await fleet.post("/v1/completions", PROMPT)).status).toBe(503);
    const second = await fleet.post("/v1/completions", PROMPT);
    expect(await readError(second)).toMatchObject({
      status: 503,
      code: "waking",
      outcome: "not_run",
      hasRetryAfter: true,
    });
    expect((await fetch(`${fleet.url}/readyz`)).status).toBe(503);
    expect(fleet.agents[1]!.requests).toEqual([]);
  });

  // Guards against a retry that is sent after the deadline because the process
  // was paused.
  test("sends nothing if the deadline passed during a pause", async () => {
    let now = 0;
    const fleet = await startFleet({
      agents: createAgents((stream, request, agent) => {
        now += 60_000;
        return refuseWith("overloaded")(stream, request, agent);
      }, ANSWER_OK),
      nowMs: () => now,
    });
    const response = await fleet.post("/v1/completions", PROMPT);
    expect(await readError(response)).toMatchObject({
      status: 503,
      code: "deadline_exceeded",
      outcome: "not_run",
    });
    expect(fleet.agents[1]!.requests).toEqual([]);
  });

  // Guards against a shutdown that aborts requests in flight, or that refuses
  // requests before the load balancer has seen the failed readiness check.
  test("finishes streams in progress while it shuts down", async () => {
    const release = createDeferred();
    const fleet = await startFleet({
      agents: createAgents(async (stream) => {
        sendHead(stream);
        await stream.write(Buffer.from(TOKEN_EVENTS[0]!));
        await release.promise;
        await stream.write(
          Buffer.from(
            TOKEN_EVENTS[1]! + TOKEN_EVENTS[2]! + FINISH_EVENT + DONE_EVENT,
          ),
        );
        stream.end({ outcome: "answered" });
      }, ANSWER_OK),
      settings: { drainNoticeMs: 300 },
    });
    const body = { ...PROMPT, stream: true };
    const running = await fleet.post("/v1/completions", body);
    fleet.agents[0]!.behaviour = ANSWER_OK;
    const shutdown = fleet.entry.shutDown();
    expect((await fetch(`${fleet.url}/readyz`)).status).toBe(503);
    const during = await fleet.post("/v1/completions", PROMPT);
    expect(during.status).toBe(200);
    await during.text();
    await fleet.waitForLog("Refusing new requests");
    const refused = await fleet.post("/v1/completions", PROMPT);
    expect(await readError(refused)).toMatchObject({
      status: 503,
      code: "shutting_down",
      outcome: "not_run",
    });
    release.resolve();
    const text = await running.text();
    expect(readContent(text)).toBe("abc");
    expect(text.endsWith(DONE_EVENT)).toBe(true);
    await shutdown;
  });
});
