import { describe, expect, test } from "@jest/globals";
import { OTHER_DIGEST, refuseWith, sendHead } from "./testing/fake_fleet.ts";
import type { AgentBehaviour } from "./testing/fake_fleet.ts";
import {
  acceptThenDisconnect,
  disconnectAfter,
  createAgents,
  ANSWER_OK,
  PROMPT,
  readError,
  useTestFleets,
} from "./testing/fault_cases.ts";

const startFleet = useTestFleets();

interface Case {
  /** The failure that the case guards against. */
  readonly name: string;
  readonly agents: readonly AgentBehaviour[];
  readonly expected: {
    readonly status: number;
    readonly outcome: string;
    readonly code?: string;
  };
  /** Number of requests that each agent received. */
  readonly requests: readonly number[];
  readonly retries?: Readonly<Record<string, number>>;
}

const WRONG_DIGEST: AgentBehaviour = async (stream) => {
  sendHead(stream, { digest: OTHER_DIGEST, type: "application/json" });
  await stream.write(Buffer.from("{}"));
  stream.end({ outcome: "answered" });
};

const NO_DIGEST: AgentBehaviour = async (stream) => {
  const headers = { "content-type": "application/json" };
  stream.send({ kind: "response_head", status: 200, headers });
  await stream.write(Buffer.from("{}"));
  stream.end({ outcome: "answered" });
};

const NO_TRAILER: AgentBehaviour = async (stream, request, agent) => {
  sendHead(stream, { type: "application/json" });
  await stream.write(Buffer.from(JSON.stringify({ text: "ok" })));
  await disconnectAfter([])(stream, request, agent);
};

const REPEATABLE_CASES: readonly Case[] = [
  {
    name: "reporting a refusal although another endpoint is free",
    agents: [refuseWith("overloaded"), ANSWER_OK],
    expected: { status: 200, outcome: "answered" },
    requests: [1, 1],
    retries: { overloaded: 1 },
  },
  {
    name: "retrying after a refusal that does not depend on the endpoint",
    agents: [refuseWith("request_quarantined", 2_000), ANSWER_OK],
    expected: { status: 503, outcome: "not_run", code: "request_quarantined" },
    requests: [1, 0],
  },
  {
    name: "more than two retries",
    agents: [1, 2, 3, 4].map(() => refuseWith("overloaded")),
    expected: { status: 503, outcome: "not_run", code: "overloaded" },
    requests: [1, 1, 1, 0],
    retries: { overloaded: 2 },
  },
  {
    name: "failing a request whose connection broke before acceptance",
    agents: [disconnectAfter([]), ANSWER_OK],
    expected: { status: 200, outcome: "answered" },
    requests: [1, 1],
    retries: { connection_lost: 1 },
  },
  {
    name: "failing a request whose connection broke after acceptance",
    agents: [acceptThenDisconnect, ANSWER_OK],
    expected: { status: 200, outcome: "answered" },
    requests: [1, 1],
    retries: { connection_lost: 1 },
  },
  {
    name: "a request that crashes a third endpoint",
    agents: [acceptThenDisconnect, acceptThenDisconnect, ANSWER_OK],
    expected: { status: 502, outcome: "unknown", code: "connection_lost" },
    requests: [1, 1, 0],
  },
  {
    name: "reporting 'not run' after a later refusal although an earlier attempt may have run",
    agents: [acceptThenDisconnect, refuseWith("overloaded")],
    expected: { status: 502, outcome: "unknown", code: "connection_lost" },
    requests: [1, 1],
  },
  {
    name: "forwarding a response without a trailer as complete",
    agents: [NO_TRAILER, ANSWER_OK],
    expected: { status: 200, outcome: "answered" },
    requests: [1, 1],
    retries: { connection_lost: 1 },
  },
  {
    name: "reporting 'not run' by an agent that had started its response",
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
    name: "a response of a version that the document does not list",
    agents: [WRONG_DIGEST, ANSWER_OK],
    expected: { status: 200, outcome: "answered" },
    requests: [1, 1],
    retries: { wrong_digest: 1 },
  },
  {
    name: "a response without a version",
    agents: [NO_DIGEST, ANSWER_OK],
    expected: { status: 200, outcome: "answered" },
    requests: [1, 1],
    retries: { wrong_digest: 1 },
  },
  {
    name: "forwarding a response of a wrong version if there is no other endpoint",
    agents: [WRONG_DIGEST],
    expected: { status: 502, outcome: "unknown", code: "connection_lost" },
    requests: [1],
  },
  {
    name: "waiting for an endpoint if there is none",
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

  // Guards against a retry storm when all endpoints are overloaded. Half of the
  // retry budget is reserved for other causes.
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

  // Guards against further requests to a data centre that is out while this
  // entry's configuration is too old to show it.
  test("avoids a data centre that an agent reports as out", async () => {
    const refuse = refuseWith("data_centre_out");
    const fleet = await startFleet({
      agents: [
        { host: "a", dataCentre: "d2", behaviour: refuse },
        { host: "b", dataCentre: "d2", behaviour: refuse },
        { host: "c", dataCentre: "d1", behaviour: ANSWER_OK },
      ],
    });
    const response = await fleet.post("/v1/completions", PROMPT);
    expect(response.status).toBe(200);
    expect(fleet.agents[1]!.requests).toEqual([]);
    expect(fleet.fetchedVersions).toEqual([8]);
  });
});
