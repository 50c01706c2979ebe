import { describe, expect, test } from "@jest/globals";
import { createEndpointClient } from "../engine/mod.ts";
import type { RequestHead } from "../wire/mod.ts";
import { createFakeEngine } from "./testing/fake_engine.ts";
import {
  PLAIN_SERVICE,
  sendRequest,
  createDocument,
  createHead,
  createListing,
  unknownOutcome,
  notRun,
  openRequest,
  useHarness,
} from "./testing/mod.ts";
import type { AgentHarness } from "./testing/mod.ts";

const start = useHarness({ service: PLAIN_SERVICE });

let nextKey = 0;
function createKey(atMs = Date.now()): string {
  nextKey += 1;
  const time = atMs.toString(16).padStart(12, "0");
  const tail = nextKey.toString(16).padStart(12, "0");
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${tail}`;
}

function createBooking(
  idempotencyKey: string | undefined,
  changes: Partial<RequestHead> = {},
): Partial<RequestHead> {
  return {
    service: "ledger",
    path: "/bookings",
    repeatable: false,
    fingerprint: "f",
    ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
    ...changes,
  };
}

describe("keys", () => {
  // Guards against a second run with the same key, whatever the timing.
  test("a repeated key never runs again", async () => {
    const { entry, engine, waitUntil } = await start();
    const key = createKey();
    engine.onRequest(() => undefined);
    const first = sendRequest(entry, createBooking(key));
    const { response } = await engine.waitForRequest(0);
    expect(
      (await sendRequest(entry, createBooking(key))).trailer,
    ).toMatchObject({
      outcome: "unknown",
      code: "key_in_use",
      status: 409,
    });
    response.writeHead(201, { "x-id": "7" }).end("booked");
    expect((await first).trailer?.outcome).toBe("answered");
    const again = await sendRequest(entry, createBooking(key.toUpperCase()));
    expect(again.head).toMatchObject({ status: 201, headers: { "x-id": "7" } });
    expect(again.body).toBe("booked");
    const other = await sendRequest(
      entry,
      createBooking(key, { fingerprint: "g" }),
    );
    expect(other.trailer).toMatchObject({ outcome: "not_run", status: 422 });
    await waitUntil(() => engine.requests.length === 1);
  });

  // Guards against an abort that leaves the outcome of a booking unknown.
  test("a request continues after its caller left and is answered on a retry", async () => {
    const { entry, engine, waitUntil, lastLoad } = await start();
    const key = createKey();
    engine.onRequest(() => undefined);
    const stream = openRequest(entry, createHead(createBooking(key)));
    const { response } = await engine.waitForRequest(0);
    stream.reset("caller_left");
    response.end("booked");
    await waitUntil(() => lastLoad()?.inFlight === 0);
    expect((await sendRequest(entry, createBooking(key))).body).toBe("booked");
    expect(engine.requests).toHaveLength(1);
  });

  // Guards against a second run when the answer of the first one is lost.
  const lost = [
    { name: "ends early", answer: undefined },
    { name: "is too large to store", answer: "x".repeat(65 * 1024) },
  ];
  test.each(lost)(
    "the outcome of a key whose answer $name is unknown",
    async ({ answer }) => {
      const { entry, engine, waitUntil, lastLoad } = await start();
      engine.onRequest(({ response }) =>
        answer === undefined ? response.destroy() : response.end(answer),
      );
      const key = createKey();
      await sendRequest(entry, createBooking(key));
      await waitUntil(() => lastLoad()?.phase === "warm");
      expect((await sendRequest(entry, createBooking(key))).trailer).toEqual(
        unknownOutcome("key_outcome_unknown"),
      );
      expect(engine.requests).toHaveLength(1);
    },
  );

  // Guards against `not_run` for a key that an earlier process may have run.
  test("a restarted agent does not run older keys", async () => {
    const { entry, engine } = await start({ startedAgoMs: 0 });
    const reply = await sendRequest(
      entry,
      createBooking(createKey(Date.now() - 5_000)),
    );
    expect(reply.trailer).toEqual(unknownOutcome("key_outcome_unknown"));
    expect(engine.requests).toHaveLength(0);
  });

  // Guards against a key floor set by a skewed clock: a host and its
  // replacement would run the same key if their clocks differed by more than 1
  // s.
  test("an agent whose clock is skewed runs no new key", async () => {
    const { entry, engine, fakeNode } = await start();
    const known = createKey();
    await sendRequest(entry, createBooking(known));
    fakeNode.setClockSkewed(true);
    const reply = await sendRequest(entry, createBooking(createKey()));
    expect(reply.accepted).toBe(false);
    expect(reply.trailer).toEqual(unknownOutcome("clock_skewed"));
    const again = await sendRequest(entry, createBooking(known));
    expect(again.trailer?.outcome).toBe("answered");
    expect(engine.requests).toHaveLength(1);
    fakeNode.setClockSkewed(false);
    const later = await sendRequest(entry, createBooking(createKey()));
    expect(later.trailer?.outcome).toBe("answered");
  });

  // Guards against running one key in two processes of the same host name.
  test("of two incarnations at most one runs a key", async () => {
    const old = await start();
    const replacement = await start({ startedAgoMs: 0, engine: old.engine });
    const key = createKey();
    const byNew = await sendRequest(replacement.entry, createBooking(key));
    expect(byNew.trailer?.code).toBe("key_outcome_unknown");
    expect(
      (await sendRequest(old.entry, createBooking(key))).trailer?.outcome,
    ).toBe("answered");
    expect(old.engine.requests).toHaveLength(1);
    await old.connect("h1", { role: "agent", incarnation: "02" });
    const later = await sendRequest(old.entry, createBooking(createKey()));
    expect(later.trailer).toEqual(notRun("shutting_down"));
    expect(await old.agent.stopped).toBe("superseded");
  });

  // Guards against running a key that a replacement in the host list may run.
  test("a host listed at another address runs no keys", async () => {
    const { entry, fakeNode, engine } = await start();
    fakeNode.setHosts(createListing("live"));
    // The replacement may have run the key.
    expect(
      (await sendRequest(entry, createBooking(createKey()))).trailer,
    ).toMatchObject({
      outcome: "unknown",
      code: "runner_unreachable",
    });
    expect(engine.requests).toHaveLength(0);
  });

  // Guards against running an evicted key again.
  test("a full table raises the key floor above the evicted keys", async () => {
    const harness = await start();
    const { entry, engine, setDocument } = harness;
    setDocument(createDocument({ ...PLAIN_SERVICE, maxKeys: 2 }));
    const nowMs = Date.now();
    const keys = [1, 2, 3].map((i) => createKey(nowMs + i));
    for (const key of keys) await sendRequest(entry, createBooking(key));
    const evicted = await sendRequest(entry, createBooking(keys[0]));
    expect(evicted.trailer?.code).toBe("key_outcome_unknown");
    expect(
      (await sendRequest(entry, createBooking(keys[2]))).trailer?.outcome,
    ).toBe("answered");
    expect(engine.requests).toHaveLength(3);
  });

  // Guards against running, and against `not_run` for, a key that a replacement
  // may have run while this agent was paused.
  test("the outcome of a key that arrives after a pause is unknown", async () => {
    const { entry, engine, fakeNode } = await start();
    const key = createKey();
    fakeNode.setRecovering(true);
    const unknown = { outcome: "unknown", code: "key_outcome_unknown" };
    expect(
      (await sendRequest(entry, createBooking(key))).trailer,
    ).toMatchObject(unknown);
    fakeNode.setRecovering(false);
    expect(
      (await sendRequest(entry, createBooking(key))).trailer,
    ).toMatchObject(unknown);
    expect(engine.requests).toHaveLength(0);
  });

  const otherRunner = [{ fromMs: 0, runners: ["h2"] }];
  const refused: readonly [
    name: string,
    code: string,
    key: string | undefined,
    prepare?: (harness: AgentHarness) => void,
  ][] = [
    ["a missing key", "key_required", undefined],
    [
      "a key of another version",
      "key_not_time_ordered",
      "4f9c2c1e-3b0a-4c63-9a53-8a2f7a6f9b11",
    ],
    [
      "a key from the future",
      "key_not_time_ordered",
      createKey(Date.now() + 600_000),
    ],
    [
      "a key of another runner",
      "runner_unreachable",
      createKey(),
      ({ setDocument }) =>
        setDocument(
          createDocument({ ...PLAIN_SERVICE, runnerSets: otherRunner }),
        ),
    ],
    [
      "a key beyond the runner lead",
      "runner_unreachable",
      createKey(),
      ({ fakeNode }) => fakeNode.setConfirmedAtMs(Date.now() - 90_000_000),
    ],
  ];
  // Guards against running keys that another runner or process could also run.
  test.each(refused)("refuses %s", async (...[, code, key, prepare]) => {
    const harness = await start();
    prepare?.(harness);
    const reply = await sendRequest(harness.entry, createBooking(key));
    // If another host may have run the key, `not_run` could be false.
    expect(reply.trailer).toMatchObject({
      outcome: code === "runner_unreachable" ? "unknown" : "not_run",
      code,
    });
    expect(harness.engine.requests).toHaveLength(0);
  });

  // Guards against a route that the entry's older configuration declares
  // repeatable. Requests with an encoded path or an unconfigured path used to
  // run without a key.
  test.each(["/bookings", "/%62ookings", "/bookings?a=1", "/refunds"])(
    "the agent's own configuration decides that %s is not repeatable",
    async (path) => {
      const { entry, engine } = await start();
      const head = createBooking(undefined, { repeatable: true, path });
      expect((await sendRequest(entry, head)).trailer?.code).toBe(
        "key_required",
      );
      expect(engine.requests).toHaveLength(0);
    },
  );
});

describe("endpoint client", () => {
  // Guards against bytes that are sent after the hand-off was cancelled.
  test.each([true, false])(
    "writes nothing if the hand-off is cancelled (repeatable: %s)",
    async (isRepeatable) => {
      const engine = await createFakeEngine("d");
      const client = createEndpointClient(engine.url);
      const request = {
        method: "POST",
        path: "/bookings",
        headers: {},
        body: Buffer.from("x"),
        signal: new AbortController().signal,
        isRepeatable,
      };
      const refused = await client.send({
        ...request,
        isWriteAllowed: () => false,
      });
      expect(refused._unsafeUnwrapErr()).toEqual({
        mayHaveRun: false,
        reason: "hand_off_expired",
      });
      expect(engine.requests).toHaveLength(0);
      await engine.close();
      const failed = await client.send(request);
      expect(failed._unsafeUnwrapErr().mayHaveRun).toBe(false);
      await client.close();
    },
  );
});
