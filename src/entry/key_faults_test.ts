import { describe, expect, test } from "@jest/globals";
import { setTimeout as delay } from "node:timers/promises";
import { createKey } from "../idempotency/mod.ts";
import {
  API_KEY,
  chooseFirst,
  createDocument,
  refuseWith,
} from "./testing/fake_fleet.ts";
import type {
  FakeAgentOptions,
  AgentBehaviour,
  TestFleet,
} from "./testing/fake_fleet.ts";
import {
  acceptThenDisconnect,
  disconnectAfter,
  createAgents,
  ANSWER_OK,
  readError,
  useTestFleets,
} from "./testing/fault_cases.ts";

const startFleet = useTestFleets();

describe("non-repeatable request", () => {
  function post(fleet: TestFleet, key: string) {
    return fleet.post("/services/booking/bookings", "pay", {
      "idempotency-key": key,
    });
  }

  function createRunners(
    ...behaviours: readonly AgentBehaviour[]
  ): FakeAgentOptions[] {
    return createAgents(...behaviours).map((place) => ({
      ...place,
      service: "booking",
    }));
  }

  async function suggestKey(fleet: TestFleet): Promise<string> {
    const response = await fleet.post("/v1/idempotency-keys", "");
    return ((await response.json()) as { key: string }).key;
  }

  // Guards against a key of a runner that a configuration, which arrived with
  // the body, has replaced.
  test("is suggested a key by the configuration that names the service", async () => {
    const fleet = await startFleet({ agents: createRunners(ANSWER_OK) });
    const outdated = createDocument(["gone"]);
    const current = createDocument(["a"]);
    fleet.view.document = outdated;
    const body = new ReadableStream<Uint8Array>({
      async start(controller) {
        await delay(50);
        fleet.view.document = current;
        controller.close();
      },
    });
    const response = await fetch(`${fleet.url}/v1/idempotency-keys`, {
      method: "POST",
      headers: { authorization: `Bearer ${API_KEY}` },
      body,
      duplex: "half",
    } as RequestInit);
    expect(response.status).toBe(201);
  });

  // Guards against a second run when entries are connected to different hosts.
  test("is sent to the same runner by entries with different views", async () => {
    const one = await startFleet({
      agents: createRunners(ANSWER_OK, ANSWER_OK, ANSWER_OK),
      choicePolicy: chooseFirst,
    });
    const other = await startFleet({ agents: createRunners(ANSWER_OK) });
    for (let count = 0; count < 20; count++) {
      const key = createKey(Date.now());
      await (await post(one, key)).text();
      const response = await post(other, key);
      const runner = one.agents.find(({ requests }) =>
        requests.some(({ head }) => head.idempotencyKey === key),
      )!;
      if (runner.host === "a") expect(response.status).toBe(200);
      else {
        // The key ran, so neither "not run" nor a suggested key is correct.
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

  const LOST: readonly { name: string; behaviour: AgentBehaviour }[] = [
    { name: "before", behaviour: disconnectAfter([]) },
    { name: "after", behaviour: acceptThenDisconnect },
  ];

  // Guards against a second run, and against reporting "not run" wrongly.
  test.each(LOST)(
    "has an unknown outcome if the connection breaks $name acceptance",
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
      // The runner is unreachable now, but it may have run the first request.
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
    { code: "clock_skewed", outcome: "unknown", status: 502 },
  ];

  // Guards against a request that is sent to another host after a refusal.
  test.each(REFUSED)(
    "reports the refusal $code of its runner",
    async ({ code, outcome, status }) => {
      const refuse: AgentBehaviour = (stream) => stream.end({ outcome, code });
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

  // Guards against reporting "not run" for a key that ran before its runner's
  // data centre was taken out. Only the runner knows, so the request is sent.
  test("is sent to its runner while the runner's data centre is out", async () => {
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

  // Guards against a caller that has no key of a runner that accepts requests.
  test("gets a suggested key if its runner accepts no new requests", async () => {
    const closed = refuseWith("endpoint_leaving");
    const fleet = await startFleet({
      agents: createRunners(closed, ANSWER_OK, ANSWER_OK),
    });
    const keys = Array.from({ length: 40 }, () => createKey(Date.now()));
    const responses = await Promise.all(keys.map((key) => post(fleet, key)));
    const refused = responses.filter(({ status }) => status === 503);
    expect(refused.length).toBeGreaterThan(0);
    refused.forEach(({ headers }) =>
      expect(headers.has("zinniaspur-suggested-key")).toBe(true),
    );
  });
});
