import { describe, expect, test } from "@jest/globals";
import { createEndpointClient } from "../engine/mod.ts";
import type { RequestHead } from "../wire/mod.ts";
import { createFakeEngine } from "./testing/fake_engine.ts";
import {
  PLAIN,
  ask,
  createDocument,
  createHead,
  createListing,
  endedUnknown,
  notRun,
  openRequest,
  useRigs,
} from "./testing/mod.ts";
import type { Rig } from "./testing/mod.ts";

const start = useRigs({ service: PLAIN });

let nextKey = 0;
function createKey(atMs = Date.now()): string {
  nextKey += 1;
  const time = atMs.toString(16).padStart(12, "0");
  const tail = nextKey.toString(16).padStart(12, "0");
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${tail}`;
}

function book(
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
  // Guards against a second run under the same key, whatever the timing.
  test("a repeated key never runs again", async () => {
    const { entry, engine, until } = await start();
    const key = createKey();
    engine.onRequest(() => undefined);
    const first = ask(entry, book(key));
    const { response } = await engine.waitForRequest(0);
    expect((await ask(entry, book(key))).trailer).toMatchObject({
      outcome: "unknown",
      code: "key_in_use",
      status: 409,
    });
    response.writeHead(201, { "x-id": "7" }).end("booked");
    expect((await first).trailer?.outcome).toBe("answered");
    const again = await ask(entry, book(key.toUpperCase()));
    expect(again.head).toMatchObject({ status: 201, headers: { "x-id": "7" } });
    expect(again.body).toBe("booked");
    const other = await ask(entry, book(key, { fingerprint: "g" }));
    expect(other.trailer).toMatchObject({ outcome: "not_run", status: 422 });
    await until(() => engine.requests.length === 1);
  });

  // Guards against an abort that leaves the outcome of a booking unknown.
  test("a call goes on after its caller left, and is answered later", async () => {
    const { entry, engine, until, lastLoad } = await start();
    const key = createKey();
    engine.onRequest(() => undefined);
    const stream = openRequest(entry, createHead(book(key)));
    const { response } = await engine.waitForRequest(0);
    stream.reset("caller_left");
    response.end("booked");
    await until(() => lastLoad()?.inFlight === 0);
    expect((await ask(entry, book(key))).body).toBe("booked");
    expect(engine.requests).toHaveLength(1);
  });

  // Guards against a second run when the first one's answer is lost.
  const lost = [
    { name: "breaks", answer: undefined },
    { name: "is too large to keep", answer: "x".repeat(65 * 1024) },
  ];
  test.each(lost)("an answer that $name is unknown", async ({ answer }) => {
    const { entry, engine, until, lastLoad } = await start();
    engine.onRequest(({ response }) =>
      answer === undefined ? response.destroy() : response.end(answer),
    );
    const key = createKey();
    await ask(entry, book(key));
    await until(() => lastLoad()?.phase === "warm");
    expect((await ask(entry, book(key))).trailer).toEqual(
      endedUnknown("key_outcome_unknown"),
    );
    expect(engine.requests).toHaveLength(1);
  });

  // Guards against "not run" for a key that an earlier process may have run.
  test("a restarted agent does not run older keys", async () => {
    const { entry, engine } = await start({ startedAgoMs: 0 });
    const reply = await ask(entry, book(createKey(Date.now() - 5_000)));
    expect(reply.trailer).toEqual(endedUnknown("key_outcome_unknown"));
    expect(engine.requests).toHaveLength(0);
  });

  // Guards against a floor by a wrong clock: the host and its replacement
  // would run the same key if their clocks differed by more than 1 s.
  test("an agent whose clock is wrong runs no new key", async () => {
    const { entry, engine, fake } = await start();
    const known = createKey();
    await ask(entry, book(known));
    fake.setClockSkewed(true);
    const reply = await ask(entry, book(createKey()));
    expect(reply.accepted).toBe(false);
    expect(reply.trailer).toEqual(endedUnknown("clock_skewed"));
    const again = await ask(entry, book(known));
    expect(again.trailer?.outcome).toBe("answered");
    expect(engine.requests).toHaveLength(1);
    fake.setClockSkewed(false);
    const later = await ask(entry, book(createKey()));
    expect(later.trailer?.outcome).toBe("answered");
  });

  // Guards against one key running in two processes of one host name.
  test("of two incarnations at most one runs a key", async () => {
    const old = await start();
    const replacement = await start({ startedAgoMs: 0, engine: old.engine });
    const key = createKey();
    const byNew = await ask(replacement.entry, book(key));
    expect(byNew.trailer?.code).toBe("key_outcome_unknown");
    expect((await ask(old.entry, book(key))).trailer?.outcome).toBe("answered");
    expect(old.engine.requests).toHaveLength(1);
    await old.connect("h1", { role: "agent", incarnation: "02" });
    const later = await ask(old.entry, book(createKey()));
    expect(later.trailer).toEqual(notRun("shutting_down"));
    expect(await old.agent.stopped).toBe("superseded");
  });

  // Guards against a run beside a replacement that the host list knows.
  test("a host listed at another address runs no keys", async () => {
    const { entry, fake, engine } = await start();
    fake.setHosts(createListing("live"));
    // The replacement may have run the key.
    expect((await ask(entry, book(createKey()))).trailer).toMatchObject({
      outcome: "unknown",
      code: "runner_unreachable",
    });
    expect(engine.requests).toHaveLength(0);
  });

  // Guards against forgetting that an evicted key ran.
  test("a full table raises the floor over the evicted keys", async () => {
    const rig = await start();
    const { entry, engine, setDocument } = rig;
    setDocument(createDocument({ ...PLAIN, maxKeys: 2 }));
    const nowMs = Date.now();
    const keys = [1, 2, 3].map((i) => createKey(nowMs + i));
    for (const key of keys) await ask(entry, book(key));
    const evicted = await ask(entry, book(keys[0]));
    expect(evicted.trailer?.code).toBe("key_outcome_unknown");
    expect((await ask(entry, book(keys[2]))).trailer?.outcome).toBe("answered");
    expect(engine.requests).toHaveLength(3);
  });

  // Guards against a run, and against "not run", of a key that a replacement
  // may have run while this agent was paused.
  test("a key that arrives after a pause is unknown", async () => {
    const { entry, engine, fake } = await start();
    const key = createKey();
    fake.setWaking(true);
    const unknown = { outcome: "unknown", code: "key_outcome_unknown" };
    expect((await ask(entry, book(key))).trailer).toMatchObject(unknown);
    fake.setWaking(false);
    expect((await ask(entry, book(key))).trailer).toMatchObject(unknown);
    expect(engine.requests).toHaveLength(0);
  });

  const otherRunner = [{ fromMs: 0, runners: ["h2"] }];
  const refused: readonly [
    name: string,
    code: string,
    key: string | undefined,
    prepare?: (rig: Rig) => void,
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
        setDocument(createDocument({ ...PLAIN, runnerSets: otherRunner })),
    ],
    [
      "a key beyond the runner lead",
      "runner_unreachable",
      createKey(),
      ({ fake }) => fake.setConfirmedAtMs(Date.now() - 90_000_000),
    ],
  ];
  // Guards against runs that another runner or process could repeat.
  test.each(refused)("refuses %s", async (...[, code, key, prepare]) => {
    const rig = await start();
    prepare?.(rig);
    const reply = await ask(rig.entry, book(key));
    // Where another host may have run the key, "not run" would be a guess.
    expect(reply.trailer).toMatchObject({
      outcome: code === "runner_unreachable" ? "unknown" : "not_run",
      code,
    });
    expect(rig.engine.requests).toHaveLength(0);
  });

  // Guards against a route that the entry's older document calls repeatable.
  // An encoded path and a path without a route ran without a key.
  test.each(["/bookings", "/%62ookings", "/bookings?a=1", "/refunds"])(
    "the agent's own document decides that %s must not repeat",
    async (path) => {
      const { entry, engine } = await start();
      const head = book(undefined, { repeatable: true, path });
      expect((await ask(entry, head)).trailer?.code).toBe("key_required");
      expect(engine.requests).toHaveLength(0);
    },
  );
});

describe("endpoint client", () => {
  // Guards against bytes that leave after the hand-off was called off.
  test.each([true, false])(
    "writes nothing if the hand-off is called off (%s)",
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
      const refused = await client.send({ ...request, mayWrite: () => false });
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
