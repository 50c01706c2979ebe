import { afterEach, expect, test } from "@jest/globals";
import { SILENT_LOGGER } from "../directory/testing/mod.ts";
import { createStatedLimits, PERMIT_VALID_MS } from "../limits/mod.ts";
import type { Mesh } from "../mesh/mod.ts";
import { createRegistry } from "../metrics/mod.ts";
import type { Notice, Peer, StatedLimitRecord } from "../wire/mod.ts";
import { startRequestLender } from "./request_lender.ts";
import { createReport } from "./testing/mod.ts";

const ADDRESS = "10.0.0.1:8000";
const START_MS = 2_000;

const closers: (() => void)[] = [];

afterEach(() => closers.splice(0).forEach((close) => close()));

/** An agent with two connected entries, `e1` and `e2`. */
function startLender(options: { readonly runsForMs?: number } = {}) {
  const time = { nowMs: 100_000 };
  const sent = new Map<string, Notice[]>();
  const createPeer = (host: string) => {
    sent.set(host, []);
    return {
      hello: { host },
      sendNotice: (notice: Notice) => sent.get(host)!.push(notice),
    } as unknown as Peer;
  };
  const peers = new Map(["e1", "e2"].map((host) => [host, createPeer(host)]));
  const handlers = new Map<string, (peer: Peer, notice: Notice) => void>();
  const nowMs = () => time.nowMs;
  const registry = createRegistry();
  const lender = startRequestLender({
    address: ADDRESS,
    statedLimits: createStatedLimits({
      nowMs,
      registry,
      logger: SILENT_LOGGER,
    }),
    mesh: {
      onMeshNotice: (topic, handler) => void handlers.set(topic, handler),
      partners: () =>
        [...peers.values()].map((peer) => ({ peer, isLocal: true })),
      findPeer: (host) => peers.get(host),
    } as Pick<Mesh, "onMeshNotice" | "partners" | "findPeer">,
    nowMs,
    registry,
    logger: SILENT_LOGGER,
  });
  closers.push(lender.close);
  time.nowMs += options.runsForMs ?? PERMIT_VALID_MS;
  let lastAskId = 0;
  const receive = (host: string, notice: Notice) =>
    handlers.get(notice.topic)!(peers.get(host)!, notice);
  return {
    time,
    lender,
    receive,
    ask(host: string, limit: Partial<StatedLimitRecord> = {}, count = 1) {
      lastAskId += 1;
      receive(host, {
        topic: "permit_ask",
        askId: lastAskId,
        count,
        limit: createLimit(limit),
      });
    },
    countGranted: (host: string) =>
      sent
        .get(host)!
        .flatMap((notice) =>
          notice.topic === "permit_grant" ? [notice.count] : [],
        )
        .reduce((sum, count) => sum + count, 0),
    listLimits: (host: string) =>
      sent
        .get(host)!
        .flatMap((notice) =>
          notice.topic === "request_limits" ? notice.limits : [],
        ),
  };
}

function createLimit(fields: Partial<StatedLimitRecord>): StatedLimitRecord {
  return {
    address: ADDRESS,
    startedAtMs: START_MS,
    ratePerS: 2,
    sentAgeMs: 20,
    heardAgeMs: 10,
    ...fields,
  };
}

test("an agent that has not heard of the limit lends by that of the ask, and tells the others", () => {
  const { ask, time, countGranted, listLimits } = startLender();
  ask("e1");
  time.nowMs += 700;
  ask("e1");
  expect(countGranted("e1")).toBe(1);
  expect(listLimits("e2")).toMatchObject([{ ratePerS: 2, address: ADDRESS }]);
});

// Guards against one entry that takes the whole rate by asking for more.
test("entries that ask get permits in turn", () => {
  const { ask, time, countGranted } = startLender();
  ask("e1", {}, 100);
  ask("e2", {}, 1);
  for (let step = 0; step < 8; step += 1) {
    time.nowMs += 600;
    ask("e1", {}, 100);
    ask("e2", {}, 1);
  }
  expect(countGranted("e1") + countGranted("e2")).toBeGreaterThanOrEqual(8);
  expect(countGranted("e2")).toBeGreaterThanOrEqual(3);
});

// Guards against two processes in a row that lend the same rate: permits of the
// former one are still in use.
test("an agent that has just started lends nothing", () => {
  const { ask, time, countGranted } = startLender({ runsForMs: 0 });
  ask("e1");
  time.nowMs += PERMIT_VALID_MS - 1;
  ask("e1");
  expect(countGranted("e1")).toBe(0);
  time.nowMs += 1;
  ask("e1");
  expect(countGranted("e1")).toBe(1);
});

// Guards against an entry that gets no response from which it could hear that
// the limit has ended.
test("an entry that has not heard the end of the limit is told", () => {
  const { ask, receive, listLimits, countGranted } = startLender();
  receive("e2", {
    topic: "request_limits",
    limits: [createLimit({ sentAgeMs: 500, heardAgeMs: 480 })],
  });
  const { ratePerS, ...ended } = createLimit({});
  receive("e2", { topic: "request_limits", limits: [ended] });
  ask("e1", { ratePerS: ratePerS!, sentAgeMs: 500, heardAgeMs: 480 });
  expect(countGranted("e1")).toBe(0);
  const last = listLimits("e1").at(-1);
  expect(last).toMatchObject({ address: ADDRESS, startedAtMs: START_MS });
  expect(last).not.toHaveProperty("ratePerS");
});

// Guards against the limit of a former start of the endpoint.
test("a limit of a former incarnation, or of another endpoint, is not taken", () => {
  const { ask, receive, countGranted, lender } = startLender();
  const startedAtMs = START_MS + 1_000;
  lender.onReport(createReport({ startedAtMs, requestLimitPerS: Infinity }), 0);
  ask("e1");
  receive("e1", {
    topic: "request_limits",
    limits: [createLimit({ address: "10.0.0.2:8000" })],
  });
  expect(countGranted("e1")).toBe(0);
});
