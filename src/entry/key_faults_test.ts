import { describe, expect, test } from "@jest/globals";
import { createKey } from "../idempotency/mod.ts";
import {
  chooseFirst,
  createDocument,
  refuseWith,
} from "./testing/fake_fleet.ts";
import type { AgentPlace, Behaviour, Fleet } from "./testing/fake_fleet.ts";
import {
  ACCEPT_THEN_BREAK,
  breakAfter,
  createAgents,
  OK,
  readError,
  useFleets,
} from "./testing/fault_cases.ts";

const startFleet = useFleets();

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
    { code: "clock_skewed", outcome: "unknown", status: 502 },
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
