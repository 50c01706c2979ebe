import { describe, expect, test } from "@jest/globals";
import { OTHER_DIGEST, refuseWith, sendHead } from "./testing/fake_fleet.ts";
import type { Behaviour } from "./testing/fake_fleet.ts";
import {
  ACCEPT_THEN_BREAK,
  breakAfter,
  createAgents,
  OK,
  PROMPT,
  readError,
  useFleets,
} from "./testing/fault_cases.ts";

const startFleet = useFleets();

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
