import { connect } from "node:net";
import { afterEach, describe, expect, test } from "@jest/globals";
import { createKey } from "../idempotency/mod.ts";
import {
  answerJson,
  API_KEY,
  chooseFirst,
  createDocument,
  createFleet,
  createGate,
  DIGEST,
  DONE,
  FINISH,
  formatEvent,
  OTHER_DIGEST,
  readText,
  refuseWith,
  sendHead,
  streamEvents,
} from "./testing/fake_fleet.ts";
import type {
  AgentPlace,
  Behaviour,
  Fleet,
  FleetOptions,
} from "./testing/fake_fleet.ts";

const PROMPT = { model: "m", prompt: "p" };
const TEXT = [formatEvent("a"), formatEvent("b"), formatEvent("c")];
const OK = answerJson("ok");

const fleets: Fleet[] = [];
afterEach(async () => {
  await Promise.all(fleets.splice(0).map((fleet) => fleet.close()));
});

async function startFleet(options: FleetOptions): Promise<Fleet> {
  const fleet = await createFleet(options);
  fleets.push(fleet);
  return fleet;
}

function createAgents(...behaviours: readonly Behaviour[]): AgentPlace[] {
  return behaviours.map((behaviour, index) => ({
    host: "abcd"[index]!,
    behaviour,
  }));
}

async function readError(response: Response) {
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
function breakAfter(events: readonly string[]): Behaviour {
  return async (stream, _, agent) => {
    if (events.length > 0) sendHead(stream);
    for (const event of events) await stream.write(Buffer.from(event));
    // The written frames leave at the end of this turn of the event loop.
    setImmediate(() => setImmediate(() => agent.disconnect()));
  };
}

/** Continues after the text in `resume`, as another completion. */
const continueText: Behaviour = async (stream, { head }) => {
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

interface Case {
  /** The failure that the case guards against. */
  readonly name: string;
  readonly agents: readonly Behaviour[];
  readonly expected: {
    readonly status: number;
    readonly outcome: string;
    readonly code?: string;
  };
  /** Requests that each agent got. */
  readonly requests: readonly number[];
  readonly retries?: Readonly<Record<string, number>>;
}

const WRONG_DIGEST: Behaviour = async (stream) => {
  sendHead(stream, { digest: OTHER_DIGEST, type: "application/json" });
  await stream.write(Buffer.from("{}"));
  stream.end({ outcome: "answered" });
};

const NO_DIGEST: Behaviour = async (stream) => {
  const headers = { "content-type": "application/json" };
  stream.send({ kind: "response_head", status: 200, headers });
  await stream.write(Buffer.from("{}"));
  stream.end({ outcome: "answered" });
};

const NO_END_MARK: Behaviour = async (stream, request, agent) => {
  sendHead(stream, { type: "application/json" });
  await stream.write(Buffer.from(JSON.stringify({ text: "ok" })));
  await breakAfter([])(stream, request, agent);
};

const ACCEPT_THEN_BREAK: Behaviour = (stream, request, agent) => {
  stream.send({ kind: "accepted", incarnation: "i" });
  return breakAfter([])(stream, request, agent);
};

const REPEATABLE_CASES: readonly Case[] = [
  {
    name: "a refusal that is reported although another endpoint is free",
    agents: [refuseWith("overloaded"), OK],
    expected: { status: 200, outcome: "answered" },
    requests: [1, 1],
    retries: { overloaded: 1 },
  },
  {
    name: "a refusal of the request itself that is tried elsewhere",
    agents: [refuseWith("request_quarantined", 2_000), OK],
    expected: { status: 503, outcome: "not_run", code: "request_quarantined" },
    requests: [1, 0],
  },
  {
    name: "more than two further attempts",
    agents: [1, 2, 3, 4].map(() => refuseWith("overloaded")),
    expected: { status: 503, outcome: "not_run", code: "overloaded" },
    requests: [1, 1, 1, 0],
    retries: { overloaded: 2 },
  },
  {
    name: "a request lost before it was accepted",
    agents: [breakAfter([]), OK],
    expected: { status: 200, outcome: "answered" },
    requests: [1, 1],
    retries: { connection_lost: 1 },
  },
  {
    name: "a request lost after it was accepted",
    agents: [ACCEPT_THEN_BREAK, OK],
    expected: { status: 200, outcome: "answered" },
    requests: [1, 1],
    retries: { connection_lost: 1 },
  },
  {
    name: "a third endpoint lost to the same request",
    agents: [ACCEPT_THEN_BREAK, ACCEPT_THEN_BREAK, OK],
    expected: { status: 502, outcome: "unknown", code: "connection_lost" },
    requests: [1, 1, 0],
  },
  {
    name: "not run reported by a later refusal although the request may have run",
    agents: [ACCEPT_THEN_BREAK, refuseWith("overloaded")],
    expected: { status: 502, outcome: "unknown", code: "connection_lost" },
    requests: [1, 1],
  },
  {
    name: "an answer without end mark passed on as whole",
    agents: [NO_END_MARK, OK],
    expected: { status: 200, outcome: "answered" },
    requests: [1, 1],
    retries: { connection_lost: 1 },
  },
  {
    name: "not run reported by an agent that had begun its answer",
    agents: [
      (stream) => {
        sendHead(stream, { type: "application/json" });
        stream.end({ outcome: "not_run", code: "overloaded" });
      },
    ],
    expected: { status: 502, outcome: "unknown", code: "connection_lost" },
    requests: [1],
  },
  {
    name: "an answer of a version that the document does not list",
    agents: [WRONG_DIGEST, OK],
    expected: { status: 200, outcome: "answered" },
    requests: [1, 1],
    retries: { wrong_digest: 1 },
  },
  {
    name: "an answer that does not say its version",
    agents: [NO_DIGEST, OK],
    expected: { status: 200, outcome: "answered" },
    requests: [1, 1],
    retries: { wrong_digest: 1 },
  },
  {
    name: "an answer of a wrong version passed on for want of another endpoint",
    agents: [WRONG_DIGEST],
    expected: { status: 502, outcome: "unknown", code: "connection_lost" },
    requests: [1],
  },
  {
    name: "a wait for an endpoint when there is none",
    agents: [],
    expected: { status: 503, outcome: "not_run", code: "no_endpoint" },
    requests: [],
  },
];

describe("repeatable request", () => {
  test.each(REPEATABLE_CASES)(
    "guards against $name",
    async ({ agents, expected, requests, retries = {} }) => {
      const fleet = await startFleet({ agents: createAgents(...agents) });
      const response = await fleet.post("/v1/completions", PROMPT);
      if (expected.code === undefined) {
        expect(response.status).toBe(200);
        expect(await response.json()).toEqual({ text: "ok" });
      } else {
        expect(await readError(response)).toEqual({
          ...expected,
          bodyOutcome: expected.outcome,
          hasRetryAfter: expected.status === 503,
        });
        const reason = expected.code;
        expect(fleet.counter("refusals_total", { reason })).toBe(1);
      }
      expect(fleet.agents.map((agent) => agent.requests.length)).toEqual(
        requests,
      );
      Object.entries(retries).forEach(([reason, count]) =>
        expect(fleet.counter("retries_total", { reason })).toBe(count),
      );
    },
  );

  // Guards against a retry storm when all endpoints are full. Half of the
  // budget is for other causes.
  test("stops retrying when the budget is used up", async () => {
    const fleet = await startFleet({
      agents: createAgents(refuseWith("overloaded"), refuseWith("overloaded")),
    });
    const responses = await Promise.all(
      Array.from({ length: 60 }, () => fleet.post("/v1/completions", PROMPT)),
    );
    const statuses = responses.map(({ status }) => status);
    expect(new Set(statuses)).toEqual(new Set([503]));
    const retries = fleet.counter("retries_total", { reason: "overloaded" });
    expect(retries).toBe(5);
    expect(fleet.counter("retries_denied_total", { cause: "budget" })).toBe(55);
    const sent = fleet.agents.flatMap(({ requests }) => requests);
    expect(sent).toHaveLength(65);
  });

  // Guards against new work for a data centre that this entry believes is in.
  test("leaves a data centre that an agent reports as out", async () => {
    const refuse = refuseWith("data_centre_out");
    const fleet = await startFleet({
      agents: [
        { host: "a", dataCentre: "d2", behaviour: refuse },
        { host: "b", dataCentre: "d2", behaviour: refuse },
        { host: "c", dataCentre: "d1", behaviour: OK },
      ],
    });
    const response = await fleet.post("/v1/completions", PROMPT);
    expect(response.status).toBe(200);
    expect(fleet.agents[1]!.requests).toEqual([]);
    expect(fleet.fetchedVersions).toEqual([8]);
  });
});

describe("stream", () => {
  function post(fleet: Fleet) {
    return fleet.post("/v1/completions", { ...PROMPT, stream: true });
  }

  const CONTINUED: readonly { name: string; sent: readonly string[] }[] = [
    { name: "one token", sent: TEXT.slice(0, 1) },
    { name: "two tokens in one frame", sent: [TEXT[0]! + TEXT[1]!] },
    {
      name: "a token and a part of the next",
      sent: [TEXT[0]! + TEXT[1]!.slice(0, 20)],
    },
    { name: "all tokens but no end", sent: TEXT },
    { name: "everything but the final event", sent: [...TEXT, FINISH] },
    { name: "everything but the end mark", sent: [...TEXT, FINISH, DONE] },
  ];

  // Guards against tokens that are lost or repeated at the break.
  test.each(CONTINUED)("continues after $name", async ({ sent }) => {
    const fleet = await startFleet({
      agents: createAgents(breakAfter(sent), continueText),
    });
    const text = await (await post(fleet)).text();
    expect(readText(text)).toBe("abc");
    expect(text.endsWith(DONE)).toBe(true);
    expect(text.split(DONE)).toHaveLength(2);
    expect(text).not.toContain("c2");
    const [resumed] = fleet.agents[1]!.requests;
    if (sent.includes(FINISH)) return expect(resumed).toBeUndefined();
    if (resumed === undefined) throw new Error("not continued");
    const { resume, versionDigest } = resumed.head;
    expect(versionDigest).toBe(DIGEST);
    expect(resume!.tokens).toBe(resume!.text.length);
  });

  // Guards against a cut answer that looks complete.
  test("ends with an error event when no endpoint can continue", async () => {
    const fleet = await startFleet({
      agents: createAgents(breakAfter(TEXT.slice(0, 2))),
    });
    const text = await (await post(fleet)).text();
    expect(readText(text)).toBe("ab");
    expect(text).not.toContain("[DONE]");
    const [, data] = text.split("event: error\ndata: ");
    expect(JSON.parse(data!)).toMatchObject({
      error: { code: "connection_lost", outcome: "unknown" },
    });
    const labels = { reason: "connection_lost" };
    expect(fleet.counter("cut_streams_total", labels)).toBe(1);
  });

  // Guards against streams that are cut because the entry was paused.
  test("continues when the entry has woken", async () => {
    const fleet = await startFleet({
      agents: createAgents((stream, request, agent) => {
        fleet.view.isWaking = true;
        setTimeout(() => (fleet.view.isWaking = false), 100);
        return breakAfter(TEXT.slice(0, 1))(stream, request, agent);
      }, continueText),
    });
    const text = await (await post(fleet)).text();
    expect(readText(text)).toBe("abc");
    expect(fleet.counter("continued_streams_total")).toBe(1);
  });

  // Guards against a text of two versions.
  test("does not continue on an endpoint of another digest", async () => {
    const fleet = await startFleet({
      agents: createAgents(breakAfter(TEXT.slice(0, 1)), async (stream) => {
        sendHead(stream, { digest: OTHER_DIGEST });
        await stream.write(Buffer.from(TEXT[1]!));
        stream.end({ outcome: "answered" });
      }),
    });
    const document = createDocument();
    const [model] = document.models;
    const versions = [
      ...model!.versions,
      { name: "v2", digest: OTHER_DIGEST, sizeBytes: 1 },
    ];
    fleet.view.document = { ...document, models: [{ ...model!, versions }] };
    const text = await (await post(fleet)).text();
    expect(readText(text)).toBe("a");
    expect(text).toContain("event: error");
  });

  // Guards against attempts that are spent on endpoints of another version.
  test("passes over endpoints that report another digest", async () => {
    const agents = createAgents(
      breakAfter(TEXT.slice(0, 1)),
      continueText,
      continueText,
    );
    const fleet = await startFleet({ agents });
    const document = createDocument();
    const [model] = document.models;
    const versions = [
      ...model!.versions,
      { name: "v2", digest: OTHER_DIGEST, sizeBytes: 1 },
    ];
    fleet.view.document = { ...document, models: [{ ...model!, versions }] };
    fleet.agents[1]!.notify({
      topic: "load",
      sequence: 1,
      service: "assistant",
      phase: "warm",
      versionDigest: OTHER_DIGEST,
      inFlight: 0,
      queued: 0,
      limit: 8,
    });
    await fleet.waitForReport("b");
    expect(readText(await (await post(fleet)).text())).toBe("abc");
    expect(fleet.agents[1]!.requests).toEqual([]);
  });

  // Guards against frames of an abandoned stream in the continued answer.
  test("forwards nothing of a stream that was reset", async () => {
    const lost = createGate<string>();
    const late: Behaviour = async (stream) => {
      stream.onLost(lost.open);
      sendHead(stream);
      await stream.write(Buffer.from(TEXT[0]!));
      // A second head is an error, upon which the entry abandons the stream.
      sendHead(stream);
      await stream.write(Buffer.from(formatEvent("late")));
    };
    const fleet = await startFleet({
      agents: createAgents(late, continueText),
    });
    const text = await (await post(fleet)).text();
    expect(readText(text)).toBe("abc");
    expect(text).not.toContain("late");
    expect(await lost.promise).toBe("protocol_error");
  });

  // Guards against work that goes on for a caller that has left.
  test("resets the agent's stream when the caller leaves", async () => {
    const lost = createGate<string>();
    const fleet = await startFleet({
      agents: createAgents(async (stream) => {
        stream.onLost(lost.open);
        sendHead(stream);
        await stream.write(Buffer.from(TEXT[0]!));
      }),
    });
    const response = await post(fleet);
    await response.body!.cancel();
    expect(await lost.promise).toBe("caller_left");
  });

  // Guards against one slow reader that stalls others or fills the memory.
  test("stalls only the stream of a caller that does not read", async () => {
    let writtenBytes = 0;
    const event = formatEvent("x".repeat(50_000));
    const fleet = await startFleet({
      agents: createAgents(async (stream, request, agent) => {
        if (!request.body.includes("slow")) {
          return streamEvents(TEXT)(stream, request, agent);
        }
        sendHead(stream);
        for (;;) {
          const written = await stream.write(Buffer.from(event));
          if (written.isErr()) return;
          writtenBytes += event.length;
        }
      }),
    });
    const slow = await fleet.post("/v1/completions", {
      ...PROMPT,
      prompt: "slow",
      stream: true,
    });
    // Buffers of the system fill first; without backpressure this never ends.
    let stalledAtBytes = -1;
    for (
      let round = 0;
      round < 50 && stalledAtBytes !== writtenBytes;
      round++
    ) {
      stalledAtBytes = writtenBytes;
      for (let turn = 0; turn < 10; turn++) {
        expect(readText(await (await post(fleet)).text())).toBe("abc");
      }
    }
    expect(writtenBytes).toBe(stalledAtBytes);
    await slow.body!.cancel();
  });

  // Guards against a caller that does not read and so holds up a shutdown.
  test("closes a stalled connection at the time limit", async () => {
    const stalled = createGate();
    const fleet = await startFleet({
      agents: createAgents(async (stream) => {
        sendHead(stream);
        const event = Buffer.from(formatEvent("x".repeat(50_000)));
        while ((await stream.write(event)).isOk());
        stalled.open();
      }),
      settings: { requestTimeoutMs: 300 },
    });
    const response = await post(fleet);
    await stalled.promise;
    await fleet.entry.shutDown();
    await expect(response.text()).rejects.toThrow();
  });

  // Guards against a shutdown that waits for a caller that reads nothing of
  // answers that are complete.
  test("shuts down although complete answers are not read", async () => {
    const fleet = await startFleet({
      agents: createAgents(answerJson("x".repeat(1_000_000))),
      settings: { requestTimeoutMs: 200, bodyTimeoutMs: 200 },
    });
    const { hostname, port } = new URL(fleet.url);
    const socket = connect({ host: hostname, port: Number(port) });
    socket.on("error", () => undefined);
    socket.pause();
    const body = JSON.stringify(PROMPT);
    const request = [
      "POST /v1/completions HTTP/1.1",
      "Host: x",
      `Authorization: Bearer ${API_KEY}`,
      `Content-Length: ${body.length}`,
      "",
      body,
    ].join("\r\n");
    socket.write(request.repeat(20));
    await fleet.waitForRequests(20);
    await fleet.entry.shutDown();
    await fleet.waitForLog("Closing connections of stalled callers");
    socket.destroy();
  });

  // Guards against a request that holds its endpoint for ever.
  test("ends at the time limit", async () => {
    const fleet = await startFleet({
      agents: createAgents(async (stream) => {
        sendHead(stream);
        await stream.write(Buffer.from(TEXT[0]!));
      }),
      settings: { requestTimeoutMs: 100 },
    });
    const text = await (await post(fleet)).text();
    expect(text).toContain('"code":"deadline_exceeded"');
    expect(text).toContain('"outcome":"unknown"');
  });
});

describe("non-repeatable request", () => {
  function post(fleet: Fleet, key: string) {
    return fleet.post("/services/booking/bookings", "pay", {
      "idempotency-key": key,
    });
  }

  function createRunners(...behaviours: readonly Behaviour[]): AgentPlace[] {
    return createAgents(...behaviours).map((place) => ({
      ...place,
      service: "booking",
    }));
  }

  async function suggestKey(fleet: Fleet): Promise<string> {
    const response = await fleet.post("/v1/idempotency-keys", "");
    return ((await response.json()) as { key: string }).key;
  }

  // Guards against two runs when entries see different hosts.
  test("goes to the same runner from entries with different views", async () => {
    const one = await startFleet({
      agents: createRunners(OK, OK, OK),
      choose: chooseFirst,
    });
    const other = await startFleet({ agents: createRunners(OK) });
    for (let count = 0; count < 20; count++) {
      const key = createKey(Date.now());
      await (await post(one, key)).text();
      const response = await post(other, key);
      const runner = one.agents.find(({ requests }) =>
        requests.some(({ head }) => head.idempotencyKey === key),
      )!;
      if (runner.host === "a") expect(response.status).toBe(200);
      else {
        // The key ran, so "not run" would be wrong, and so would another key.
        expect(await readError(response)).toMatchObject({
          status: 502,
          outcome: "unknown",
          code: "runner_unreachable",
        });
        expect(response.headers.has("zinniaspur-suggested-key")).toBe(false);
        expect((await post(other, await suggestKey(other))).status).toBe(200);
      }
    }
  });

  const LOST: readonly { name: string; behaviour: Behaviour }[] = [
    { name: "before", behaviour: breakAfter([]) },
    { name: "after", behaviour: ACCEPT_THEN_BREAK },
  ];

  // Guards against a second run, and against a false "not run".
  test.each(LOST)(
    "is unknown when lost $name it was accepted",
    async ({ behaviour }) => {
      const fleet = await startFleet({
        agents: createRunners(behaviour, behaviour, behaviour),
      });
      const key = await suggestKey(fleet);
      expect(await readError(await post(fleet, key))).toMatchObject({
        status: 502,
        outcome: "unknown",
      });
      const sent = fleet.agents.flatMap(({ requests }) => requests);
      expect(sent).toHaveLength(1);
      // The runner is gone now, but it may have run the first request.
      const again = await post(fleet, key);
      expect(again.headers.has("zinniaspur-suggested-key")).toBe(false);
      expect(await readError(again)).toMatchObject({
        status: 502,
        outcome: "unknown",
        code: "runner_unreachable",
      });
    },
  );

  const REFUSED: readonly {
    code: string;
    outcome: "not_run" | "unknown";
    status: number;
  }[] = [
    { code: "overloaded", outcome: "not_run", status: 503 },
    { code: "endpoint_leaving", outcome: "not_run", status: 503 },
    { code: "key_in_use", outcome: "unknown", status: 409 },
    { code: "key_mismatch", outcome: "not_run", status: 422 },
    { code: "key_outcome_unknown", outcome: "unknown", status: 502 },
  ];

  // Guards against a refusal that moves the request to another host.
  test.each(REFUSED)(
    "reports $code of its runner",
    async ({ code, outcome, status }) => {
      const refuse: Behaviour = (stream) => stream.end({ outcome, code });
      const fleet = await startFleet({
        agents: createRunners(refuse, refuse, refuse),
      });
      const response = await post(fleet, createKey(Date.now()));
      expect(await readError(response)).toMatchObject({
        status,
        outcome,
        code,
      });
      const sent = fleet.agents.flatMap(({ requests }) => requests);
      expect(sent).toHaveLength(1);
    },
  );

  // Guards against "not run" for a key that ran before its runner's data
  // centre was taken out: the runner is asked, and says so itself.
  test("asks its runner while the runner's data centre is out", async () => {
    const out = refuseWith("data_centre_out");
    const fleet = await startFleet({ agents: createRunners(out, out, out) });
    const key = createKey(Date.now());
    const document = createDocument();
    const dataCentres = document.dataCentres.map((dataCentre) => ({
      ...dataCentre,
      out: true,
    }));
    fleet.view.document = { ...document, dataCentres };
    expect(await readError(await post(fleet, key))).toMatchObject({
      status: 503,
      outcome: "not_run",
      code: "data_centre_out",
    });
    const sent = fleet.agents.flatMap(({ requests }) => requests);
    expect(sent).toHaveLength(1);
  });

  // Guards against a caller that is left without a key that can be served.
  test("gets another key if its runner takes no new work", async () => {
    const closed = refuseWith("endpoint_leaving");
    const fleet = await startFleet({ agents: createRunners(closed, OK, OK) });
    const keys = Array.from({ length: 40 }, () => createKey(Date.now()));
    const responses = await Promise.all(keys.map((key) => post(fleet, key)));
    const refused = responses.filter(({ status }) => status === 503);
    expect(refused.length).toBeGreaterThan(0);
    refused.forEach(({ headers }) =>
      expect(headers.has("zinniaspur-suggested-key")).toBe(true),
    );
  });
});

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
