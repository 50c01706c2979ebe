import { describe, expect, test } from "@jest/globals";
import {
  createGate,
  DONE,
  FINISH,
  readText,
  refuseWith,
  sendHead,
} from "./testing/fake_fleet.ts";
import {
  createAgents,
  OK,
  PROMPT,
  readError,
  TEXT,
  useFleets,
} from "./testing/fault_cases.ts";

const startFleet = useFleets();

describe("entry that should not take work", () => {
  // Guards against dispatch by an old view after a pause.
  test("refuses while it wakes, also a request that it had begun", async () => {
    const fleet = await startFleet({ agents: createAgents(OK, OK) });
    fleet.agents[0]!.behaviour = (stream) => {
      fleet.view.isWaking = true;
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

  // Guards against a dispatch that was due before a pause of the process.
  test("sends nothing after the time limit has passed in a pause", async () => {
    let now = 0;
    const fleet = await startFleet({
      agents: createAgents((stream, request, agent) => {
        now += 60_000;
        return refuseWith("overloaded")(stream, request, agent);
      }, OK),
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

  // Guards against callers that are cut off, or sent to a closed entry.
  test("finishes streams in progress while it shuts down", async () => {
    const release = createGate();
    const fleet = await startFleet({
      agents: createAgents(async (stream) => {
        sendHead(stream);
        await stream.write(Buffer.from(TEXT[0]!));
        await release.promise;
        await stream.write(Buffer.from(TEXT[1]! + TEXT[2]! + FINISH + DONE));
        stream.end({ outcome: "answered" });
      }, OK),
      settings: { drainNoticeMs: 300 },
    });
    const body = { ...PROMPT, stream: true };
    const running = await fleet.post("/v1/completions", body);
    fleet.agents[0]!.behaviour = OK;
    const closed = fleet.entry.shutDown();
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
    release.open();
    const text = await running.text();
    expect(readText(text)).toBe("abc");
    expect(text.endsWith(DONE)).toBe(true);
    await closed;
  });
});
