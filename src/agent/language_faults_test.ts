import { describe, expect, test } from "@jest/globals";
import {
  DIGEST_1,
  DIGEST_2,
  LANGUAGE_SERVICE,
  sendRequest,
  createDocument,
  createHead,
  createListing,
  unknownOutcome,
  notRun,
  openRequest,
  readReply,
  useHarness,
} from "./testing/mod.ts";
import type { FakeRequest } from "./testing/fake_engine.ts";
import type { AgentHarness } from "./testing/mod.ts";

const start = useHarness();

const EVENTS = 'data: {"t":"a"}\n\ndata: {"t":"b"}\n\n';

const ENGINE = { "engine-version-digest": DIGEST_1 };

function startEvents({ response }: FakeRequest, digest = DIGEST_1) {
  response.writeHead(200, {
    "content-type": "text/event-stream",
    "engine-version-digest": digest,
  });
  response.write(EVENTS);
  return response;
}

describe("answers", () => {
  // Guards against relaying part of an answer as a complete one.
  const DONE = "data: [DONE]\n\n";
  const cases: readonly [
    name: string,
    run: (request: FakeRequest) => unknown,
    outcome: string,
    body: string,
  ][] = [
    [
      "a stream with its end event is complete",
      (request) => startEvents(request).end(DONE),
      "answered",
      EVENTS + DONE,
    ],
    [
      "a stream without its end event is not complete",
      (request) => startEvents(request).end(),
      "unknown",
      EVENTS,
    ],
    [
      "part of an event is not relayed",
      (request) => startEvents(request).end("data: [DO"),
      "unknown",
      EVENTS,
    ],
    [
      "a connection breaks before the first byte",
      ({ response }) => response.destroy(),
      "unknown",
      "",
    ],
    [
      "a connection breaks after the first event",
      (request) => {
        const response = startEvents(request);
        response.write("data: {", () => response.destroy());
      },
      "unknown",
      EVENTS,
    ],
    [
      "a body is shorter than its length",
      ({ response }) => {
        response.writeHead(200, { ...ENGINE, "content-length": "100" });
        response.write("short", () => response.destroy());
      },
      "unknown",
      "short",
    ],
    [
      "an answer from another version is discarded",
      (request) => startEvents(request, DIGEST_2).end(DONE),
      "unknown",
      "",
    ],
    [
      "an answer without a digest is discarded",
      ({ response }) => response.end("{}"),
      "unknown",
      "",
    ],
    [
      "the answer of an overloaded engine is not relayed",
      ({ response }) => response.writeHead(503, ENGINE).end("busy"),
      "unknown",
      "",
    ],
    [
      "an error response of the engine is relayed",
      ({ response }) => response.writeHead(400).end("bad"),
      "answered",
      "bad",
    ],
  ];
  test.each(cases)("%s", async (...[, run, outcome, body]) => {
    const { entry, engine } = await start();
    engine.onRequest(run);
    const reply = await sendRequest(entry);
    expect(reply.trailer?.outcome).toBe(outcome);
    expect(reply.body).toBe(body);
  });

  // Guards against a request that keeps running after its caller has left.
  test("a caller that leaves cancels its request at the engine", async () => {
    const { entry, engine, waitUntil, lastLoad } = await start();
    engine.onRequest((request) => startEvents(request));
    const stream = openRequest(entry, createHead({ requestId: "gone" }));
    const { response } = await engine.waitForRequest(0);
    const closed = new Promise((resolve) => response.once("close", resolve));
    stream.reset("caller_left");
    expect(await engine.waitForCancel()).toBe("gone");
    await closed;
    await waitUntil(() => lastLoad()?.inFlight === 0);
  });

  // Guards against streams that occupy a slot beyond the caller's deadline.
  test("the deadline ends and cancels a request", async () => {
    const { entry, engine } = await start();
    engine.onRequest((request) => startEvents(request));
    const reply = await sendRequest(entry, { remainingMs: 100 });
    expect(reply.trailer).toEqual(unknownOutcome("deadline_exceeded"));
    await engine.waitForCancel();
  });
});

describe("admission under overload", () => {
  // Guards against a truncated answer because new requests, even of a higher
  // priority, fill the queue of the endpoint that would continue it.
  test("a request that lost its endpoint is admitted ahead of a full queue", async () => {
    const { entry, engine, waitUntil, lastLoad } = await start();
    engine.onRequest(() => undefined);
    const running = [sendRequest(entry), sendRequest(entry)];
    await waitUntil(() => engine.requests.length === 2);
    const waiting = Array.from({ length: 4 }, () =>
      sendRequest(entry, { priority: 9 }),
    );
    await waitUntil(() => lastLoad()?.queued === 4);
    const resume = { text: "abc", tokens: 2 };
    const continued = sendRequest(entry, { resume, hasLostEndpoint: true });
    const dropped = await Promise.race(waiting);
    expect(dropped.trailer).toEqual(notRun("overloaded"));
    expect(dropped.trailer?.retryAfterMs).toBeGreaterThan(0);
    engine.onRequest((request) => startEvents(request).end("data: [DONE]\n\n"));
    engine.requests.forEach((request) =>
      startEvents(request).end("data: [DONE]\n\n"),
    );
    const replies = await Promise.all([...running, continued]);
    const outcomes = replies.map((reply) => reply.trailer?.outcome);
    expect(outcomes).toEqual(["answered", "answered", "answered"]);
    expect(JSON.parse(engine.requests[2]!.body)).toMatchObject({ resume });
  });
});

describe("admission after a restart or with a cold engine", () => {
  // Guards against exceeding the limit together with requests of an earlier
  // agent, and against relying on a report from before this process started.
  test("a restarted agent counts the requests that its endpoint still runs", async () => {
    const harness = await start({
      prepare({ state }) {
        state.inFlight = 2;
        state.reportedAtMs = Date.now() - 120_000;
      },
    });
    const { entry, engine, agent, waitUntil, lastLoad } = harness;
    expect(lastLoad()?.limit).toBe(2);
    const reply = sendRequest(entry);
    await waitUntil(() => lastLoad()?.queued === 1);
    expect(engine.requests).toHaveLength(0);
    Object.assign(engine.state, { inFlight: 0, reportedAtMs: undefined });
    expect((await reply).trailer?.outcome).toBe("answered");
    expect(agent.isReady()).toBe(true);
  });

  // Guards against a warm limit for an engine that must warm up again.
  const changes = [
    { name: "phase", change: { phase: "cold" as const } },
    { name: "boot id", change: { bootId: "boot-2" } },
    { name: "fencing", change: { fencing: [1, "0"] as const } },
  ];
  test.each(changes)("a new $name resets the limit", async ({ change }) => {
    const { entry, engine, waitUntil, lastLoad } = await start();
    for (let i = 0; i < 6; i += 1) await sendRequest(entry);
    await waitUntil(() => lastLoad()?.limit === 5);
    Object.assign(engine.state, change);
    await waitUntil(() => lastLoad()?.limit === 2);
  });

  // Guards against sending more requests to an engine that has just crashed.
  test("an engine that crashes has the cold limit, then is reported down", async () => {
    const { entry, engine, waitUntil, lastLoad } = await start();
    engine.onRequest(({ response }) => void response.destroy());
    Object.assign(engine.state, { bootId: "boot-2", phase: "cold" });
    expect((await sendRequest(entry)).trailer?.code).toBe("connection_lost");
    await waitUntil(() => lastLoad()?.phase === "cold");
    expect(lastLoad()?.limit).toBe(2);
    await engine.close();
    await waitUntil(() => lastLoad()?.phase === "down");
    const refused = await sendRequest(entry);
    expect(refused.trailer).toEqual(notRun("endpoint_cold"));
    expect(refused.trailer?.retryAfterMs).toBeGreaterThan(0);
  });
});

describe("refusals", () => {
  const { dataCentres } = createDocument(LANGUAGE_SERVICE);
  const outDocument = createDocument(LANGUAGE_SERVICE, {
    dataCentres: dataCentres.map((centre) => ({ ...centre, out: true })),
  });
  const cases: readonly [
    code: string,
    cause: (harness: AgentHarness) => unknown,
  ][] = [
    ["data_centre_out", ({ setDocument }) => setDocument(outDocument)],
    [
      "endpoint_leaving",
      ({ fakeNode }) => fakeNode.setHosts(createListing("leaving")),
    ],
    ["shutting_down", ({ agent }) => void agent.shutDown()],
    ["waking", ({ fakeNode }) => fakeNode.setRecovering(true)],
    ["waking", ({ clock }) => clock.advance(1_500)],
    ["no_configuration", ({ fakeNode }) => fakeNode.setConfig(undefined)],
    [
      "unknown_service",
      ({ setDocument }) =>
        setDocument(createDocument(LANGUAGE_SERVICE, { services: [] })),
    ],
    [
      "shutting_down",
      ({ connect }) => connect("h1", { role: "agent", incarnation: "02" }),
    ],
    [
      "shutting_down",
      ({ engine, agent }) => {
        engine.state.fencing = [1, "02"];
        return agent.stopped;
      },
    ],
  ];
  // Guards against accepting new requests after the cause is known, and against
  // interrupting those in progress.
  test.each(cases)("%s refuses new requests only", async (code, cause) => {
    const started = await start();
    const { entry, engine } = started;
    engine.onRequest((request) => startEvents(request));
    const running = openRequest(entry, createHead());
    const { response } = await engine.waitForRequest(0);
    await cause(started);
    const refused = await sendRequest(entry);
    expect(refused.accepted).toBe(false);
    expect(refused.trailer).toEqual(notRun(code));
    response.end("data: [DONE]\n\n");
    expect((await readReply(running)).trailer?.outcome).toBe("answered");
    expect(engine.requests).toHaveLength(1);
  });

  // Guards against deciding with an older configuration than the entry's.
  test("fetches a newer configuration from the entry first", async () => {
    const { entry, fakeNode, setDocument } = await start();
    fakeNode.onFetch((version) => setDocument(outDocument, version));
    const reply = await sendRequest(entry, { configVersion: 7 });
    expect(fakeNode.fetchedVersions).toEqual([7]);
    expect(reply.trailer?.code).toBe("data_centre_out");
  });

  // Guards against a shutdown that interrupts a stream in progress.
  test("shutdown waits for streams in progress", async () => {
    const { entry, engine, agent, lastLoad, waitUntil } = await start();
    engine.onRequest((request) => startEvents(request));
    const running = openRequest(entry, createHead());
    const { response } = await engine.waitForRequest(0);
    let isDone = false;
    const startMs = performance.now();
    const shutDown = agent.shutDown().then(() => (isDone = true));
    await waitUntil(() => lastLoad()?.phase === "leaving");
    // Without the wait, the shutdown would end after the 500 ms for load
    // reports.
    await waitUntil(() => performance.now() - startMs > 1_000);
    expect(isDone).toBe(false);
    response.end("data: [DONE]\n\n");
    expect((await readReply(running)).trailer?.outcome).toBe("answered");
    await shutDown;
  });
});

describe("requests that crash endpoints", () => {
  // Guards against quarantining requests that were sent to an engine that had
  // already crashed: their connections failed too, and each was recorded as a
  // cause of the crash.
  test("no request starts until the engine reports again", async () => {
    const { entry, engine, notices, waitUntil } = await start();
    engine.state.reportedAtMs = Date.now();
    engine.onRequest(({ response }) => void response.destroy());
    const poison = await sendRequest(entry, { fingerprint: "poison" });
    expect(poison.trailer?.outcome).toBe("unknown");
    const unrelated = await sendRequest(entry, { fingerprint: "unrelated" });
    expect(unrelated.accepted).toBe(false);
    expect(unrelated.trailer).toEqual(notRun("endpoint_cold"));
    await waitUntil(() => notices.some(({ topic }) => topic === "crash"));
    const counted = notices.flatMap((n) =>
      n.topic === "crash" ? [n.fingerprint] : [],
    );
    expect(new Set(counted)).toEqual(new Set(["poison"]));
    expect(engine.requests).toHaveLength(1);
  });

  // Guards against a third crash, and against affecting another client account.
  test("two crashes quarantine only the request itself", async () => {
    const { entry, engine, connect, notices, waitUntil } = await start();
    const agent2 = await connect("h2", { role: "agent" });
    agent2.sendNotice({
      topic: "crash",
      fingerprint: "poison",
      endpoint: "h2",
      expiresAtMs: Date.now() + 600_000,
    });
    await waitUntil(() => notices.some(({ topic }) => topic === "crash"));
    engine.onRequest(() => undefined);
    const poison = sendRequest(entry, { fingerprint: "poison" });
    const unrelated = sendRequest(entry, { fingerprint: "unrelated" });
    await engine.waitForRequest(1);
    Object.assign(engine.state, { bootId: "boot-2" });
    engine.breakConnections();
    expect((await poison).trailer?.outcome).toBe("unknown");
    expect((await unrelated).trailer?.outcome).toBe("unknown");
    await waitUntil(() =>
      notices.some(
        (n) =>
          n.topic === "crash" &&
          n.endpoint === "h1" &&
          n.isPreliminary !== true,
      ),
    );
    engine.onRequest(({ response }) =>
      response.writeHead(200, { "engine-version-digest": DIGEST_1 }).end("{}"),
    );
    const refused = await sendRequest(entry, { fingerprint: "poison" });
    expect(refused.trailer).toEqual(notRun("request_quarantined"));
    const served = await sendRequest(entry, { fingerprint: "unrelated" });
    expect(served.trailer?.outcome).toBe("answered");
    expect(engine.requests).toHaveLength(3);
    const recorded = notices.flatMap((n) =>
      n.topic === "crash" && n.isPreliminary !== true ? [n.fingerprint] : [],
    );
    expect(new Set(recorded)).toEqual(new Set(["poison"]));
  });
});
