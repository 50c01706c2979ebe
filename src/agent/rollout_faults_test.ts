import { describe, expect, test } from "@jest/globals";
import {
  DIGEST_1,
  DIGEST_2,
  INCARNATION,
  LANGUAGE_SERVICE,
  sendRequest,
  createDocument,
  createHead,
  notRun,
  openRequest,
  readReply,
  useHarness,
} from "./testing/mod.ts";

const start = useHarness();

function createServingDocument(servingVersion: string) {
  const { models } = createDocument(LANGUAGE_SERVICE);
  return createDocument(LANGUAGE_SERVICE, {
    models: models.map((model) => ({ ...model, servingVersion })),
  });
}

describe("roll-out", () => {
  // Guards against a load order before the weights are complete, and against a
  // load that interrupts requests in progress.
  test("transfers, drains, orders the load and serves the new version", async () => {
    const { setDocument, weights, engine, entry, agent, waitUntil, lastLoad } =
      await start();
    engine.onRequest(({ response }) => {
      response.writeHead(200, { "engine-version-digest": DIGEST_1 });
      response.write("{");
    });
    const running = openRequest(entry, createHead());
    const { response } = await engine.waitForRequest(0);
    setDocument(createServingDocument("v2"));
    await waitUntil(() => weights.wanted.at(-1)?.manifestDigest === DIGEST_2);
    expect(lastLoad()?.phase).toBe("warm");
    weights.complete(DIGEST_2);
    await waitUntil(() => lastLoad()?.phase === "loading");
    expect((await sendRequest(entry)).trailer).toEqual(notRun("endpoint_cold"));
    expect(engine.orders).toHaveLength(0);
    response.end("}");
    expect((await readReply(running)).body).toBe("{}");
    await waitUntil(() => lastLoad()?.phase === "cold");
    expect(engine.orders).toEqual([
      {
        model: "m",
        version_digest: DIGEST_2,
        source_url: `http://${agent.httpAddress()}/v1/weights/${DIGEST_2}`,
        fencing: [2, INCARNATION],
      },
    ]);
    expect(lastLoad()).toMatchObject({ versionDigest: DIGEST_2, limit: 2 });
  });

  // Guards against answers from any other version that an engine without
  // fencing runs.
  test("serves only the ordered version", async () => {
    const started = await start();
    const { setDocument, weights, engine, entry, clock, waitUntil } = started;
    const { registry, lastLoad } = started;
    engine.onOrder(() => 202);
    setDocument(createServingDocument("v2"));
    weights.complete(DIGEST_2);
    const orders = registry.counter("agent_load_orders_total", "");
    await waitUntil(() => orders.read({ result: "accepted" }) === 1);
    expect((await sendRequest(entry)).trailer?.code).toBe("endpoint_cold");
    // An order without effect is repeated.
    clock.advance(6_000);
    await waitUntil(() => engine.orders.length === 2);
    expect((await sendRequest(entry)).accepted).toBe(false);
    engine.state.versionDigest = DIGEST_2;
    await waitUntil(() => lastLoad()?.versionDigest === DIGEST_2);
    await waitUntil(() => lastLoad()?.phase === "warm");
    expect((await sendRequest(entry)).trailer?.outcome).toBe("answered");
  });

  // Guards against an agent that switches the last warm endpoint, and against
  // one that decides before the others know of the version.
  test("switches only while another endpoint stays warm", async () => {
    const {
      fakeNode,
      setDocument,
      weights,
      engine,
      waitUntil,
      clock,
      registry,
    } = await start();
    const hosts = ["h1", "h2"].map((name) => ({
      name,
      role: "endpoint" as const,
      service: "assistant",
      dataCentre: "d1",
      peerAddress: fakeNode.node.peerAddress,
      state: "live" as const,
    }));
    fakeNode.setHosts({ sequence: 2, hosts });
    const setOtherPhase = (phase: "cold" | "warm") =>
      weights.setPeers([
        {
          ...{ host: "h2", dataCentre: "d1", service: "assistant", phase },
          ...{ servingDigest: DIGEST_2, wantedDigest: DIGEST_2 },
          ...{ chunksHeld: 2, chunkCount: 2 },
        },
      ]);
    const isWaiting = () => /phase="waiting"} 1\n/.test(registry.render());
    let calls = 0;
    engine.onActivity(() => void (calls += 1));
    setOtherPhase("cold");
    weights.complete(DIGEST_2);
    setDocument(createServingDocument("v2"));
    await waitUntil(isWaiting);
    clock.advance(1_000);
    calls = 0;
    // The state is read every 10 ms; a waiting roll-out decides every 100 ms.
    await waitUntil(() => calls >= 50);
    expect(isWaiting()).toBe(true);
    setOtherPhase("warm");
    await waitUntil(() => engine.orders.length === 1);
  });

  // Guards against serving a withdrawn version.
  test("a version withdrawn during its load is replaced", async () => {
    const { setDocument, weights, engine, waitUntil, lastLoad } = await start();
    engine.onOrder((order) => {
      const isNew = order.version_digest === DIGEST_2;
      engine.state.phase = isNew ? "loading" : "cold";
      engine.state.versionDigest = String(order.version_digest);
      return 202;
    });
    weights.complete(DIGEST_1);
    setDocument(createServingDocument("v2"));
    weights.complete(DIGEST_2);
    await waitUntil(() => engine.orders.length === 1);
    setDocument(createServingDocument("v1"));
    await waitUntil(() => engine.orders.length === 2);
    expect(engine.orders[1]).toMatchObject({
      version_digest: DIGEST_1,
      fencing: [3, INCARNATION],
    });
    await waitUntil(() => lastLoad()?.phase === "cold");
    expect(lastLoad()?.versionDigest).toBe(DIGEST_1);
  });

  // Guards against an order older than one of an earlier incarnation, even if
  // the platform only offers an older configuration.
  test("an engine that reports a newer order raises the configuration floor", async () => {
    const earlierIncarnations = [
      "00000000-0000-7000-8000-000000000000",
    ] as const;
    const { fakeNode, engine, weights, entry, waitUntil, setDocument } =
      await start({
        prepare: ({ state }) =>
          void (state.fencing = [9, earlierIncarnations[0]]),
        phase: "unknown",
      });
    await waitUntil(() => fakeNode.raisedFloors.includes(9));
    weights.complete(DIGEST_2);
    setDocument(createServingDocument("v2"));
    expect((await sendRequest(entry)).trailer?.code).toBe("no_configuration");
    expect(engine.orders).toHaveLength(0);
    setDocument(createServingDocument("v2"), 10);
    await waitUntil(() => engine.orders.length === 1);
    expect(engine.orders[0]?.fencing).toEqual([10, INCARNATION]);
  });

  // Guards against an agent that serves or stops trying after a refused order.
  test("a refused order is repeated with a newer configuration version", async () => {
    const { setDocument, weights, engine, fakeNode, waitUntil, registry } =
      await start();
    engine.onOrder(() => {
      engine.state.fencing = [5, "00000000-0000-7000-8000-000000000000"];
      return 409;
    });
    setDocument(createServingDocument("v2"));
    weights.complete(DIGEST_2);
    await waitUntil(() => fakeNode.raisedFloors.includes(5));
    const orders = registry.counter("agent_load_orders_total", "");
    expect(orders.read({ result: "fenced" })).toBe(1);
    engine.onOrder(() => 202);
    setDocument(createServingDocument("v2"), 6);
    await waitUntil(() => engine.orders.length === 2);
    expect(engine.orders[1]?.fencing).toEqual([6, INCARNATION]);
  });

  // Guards against requests to an engine that restarted without its model.
  test("an engine that restarts empty is loaded again", async () => {
    const { weights, engine, waitUntil, lastLoad } = await start();
    weights.complete(DIGEST_1);
    Object.assign(engine.state, {
      bootId: "boot-2",
      phase: "empty",
      versionDigest: "",
    });
    await waitUntil(() => engine.orders.length === 1);
    await waitUntil(() => lastLoad()?.phase === "cold");
    expect(lastLoad()?.versionDigest).toBe(DIGEST_1);
  });
});
