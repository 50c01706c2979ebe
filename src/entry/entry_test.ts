import { afterEach, describe, expect, test } from "@jest/globals";
import {
  answerJson,
  createTestFleet,
  DIGEST,
  DONE_EVENT,
  FINISH_EVENT,
  formatEvent,
  streamEvents,
} from "./testing/fake_fleet.ts";
import type { TestFleet, TestFleetOptions } from "./testing/fake_fleet.ts";

const CHAT = { model: "m", messages: [{ role: "user", content: "hi" }] };

let fleet: TestFleet | undefined;
afterEach(() => fleet?.close());

async function startFleet(options: TestFleetOptions): Promise<TestFleet> {
  fleet = await createTestFleet(options);
  return fleet;
}

describe("entry", () => {
  // Guards against events that are lost, split or added.
  test("forwards a stream of events", async () => {
    const events = [
      formatEvent("a"),
      formatEvent("b"),
      FINISH_EVENT + DONE_EVENT,
    ];
    const { post, agents } = await startFleet({
      agents: [{ host: "a", behaviour: streamEvents(events) }],
    });
    const response = await post("/v1/chat/completions", {
      ...CHAT,
      stream: true,
    });
    expect(response.status).toBe(200);
    expect(response.headers.get("zinniaspur-model-digest")).toBe(DIGEST);
    expect(response.headers.get("zinniaspur-outcome")).toBe("answered");
    expect(await response.text()).toBe(events.join(""));
    expect(agents[0]!.requests[0]!.head).toMatchObject({
      service: "assistant",
      clientAccount: "a",
      priority: 5,
      configVersion: 7,
      repeatable: true,
      path: "/v1/chat/completions",
    });
  });

  // Guards against a response that is framed or labelled as an event stream
  // although the request did not ask for one.
  test("forwards a response that is not a stream", async () => {
    const { post } = await startFleet({
      agents: [{ host: "a", behaviour: answerJson("hello") }],
    });
    const response = await post("/v1/completions", { model: "m", prompt: "p" });
    expect(response.headers.get("zinniaspur-outcome")).toBe("answered");
    expect(await response.json()).toEqual({ text: "hello" });
  });

  // Guards against a plain service request that loses its path, key or body.
  test("forwards a request with an idempotency key to a plain service", async () => {
    const { post, agents } = await startFleet({
      agents: [{ host: "a", service: "booking", behaviour: answerJson("ok") }],
    });
    const created = await post("/v1/idempotency-keys", "");
    const { key } = (await created.json()) as { key: string };
    const response = await post("/services/booking/bookings/1?x=2", "body", {
      "idempotency-key": key,
    });
    expect(await response.json()).toEqual({ text: "ok" });
    expect(agents[0]!.requests).toMatchObject([
      {
        head: {
          path: "/bookings/1?x=2",
          method: "POST",
          repeatable: false,
          idempotencyKey: key,
        },
        body: "body",
      },
    ]);
  });
});
