import { expect, test } from "@jest/globals";
import fc from "fast-check";
import { choosePartnerEntries } from "../membership/mod.ts";
import { createRateLoans } from "../sidecar/mod.ts";
import type { Notice, Peer } from "../wire/mod.ts";
import { computeColdLimit, createRateLimits } from "./rate_limits.ts";

const ENDPOINT = { id: "e", address: "10.1.0.1:9000" };
const AGENT = { name: "side-1", dataCentre: "dc-0" };
const TICK_MS = 20;
const REPORT_INTERVAL_MS = 200;
/** Shares and loans settle; the agent lends only after its first seconds. */
const DURATION_MS = 9_000;

interface Scenario {
  readonly coldRequestsPerS: number;
  readonly entriesPerDataCentre: readonly number[];
  /** Requests that each entry tries to send in each tick. */
  readonly demand: readonly number[];
  readonly messageDelayMs: number;
  /** Time at which the agent's process is replaced by a new one. */
  readonly agentRestartMs: number;
}

/** Returns the times of all requests that the entries send to the endpoint. */
function simulate(scenario: Scenario, coldLimitPerS: number) {
  let nowMs = 0;
  const deliveries: { readonly atMs: number; readonly run: () => void }[] = [];
  const deliver = (run: () => void) =>
    deliveries.push({ atMs: nowMs + scenario.messageDelayMs, run });
  const entries = scenario.entriesPerDataCentre.flatMap((count, dataCentre) =>
    Array.from({ length: count }, (_, index) => ({
      name: `entry-${dataCentre}-${index}`,
      dataCentre: `dc-${dataCentre}`,
    })),
  );
  const partners = choosePartnerEntries(AGENT, entries);
  const startAgent = () =>
    createRateLoans({
      nowMs: () => nowMs,
      readLimitPerS: () => coldLimitPerS,
      countPartners: () => partners.length,
    });
  let agent = startAgent();
  const sentAtMs: number[] = [];
  const processes = entries.map((entry, index) => {
    const limits = createRateLimits({
      nowMs: () => nowMs,
      ownHost: entry.name,
      listEntryHosts: () =>
        entries.map(({ name }) => name).filter((name) => name !== entry.name),
    });
    const peer = {
      sendNotice(notice: Notice) {
        if (notice.topic !== "rate_ask") return;
        const { askId, ratePerS } = notice;
        deliver(() => {
          const lentPerS = agent.lend(entry.name, ratePerS);
          const { address } = ENDPOINT;
          deliver(() =>
            limits.onGrant({
              topic: "rate_grant",
              askId,
              address,
              ratePerS: lentPerS,
            }),
          );
        });
      },
    } as unknown as Peer;
    const demand = scenario.demand[index % scenario.demand.length]!;
    return { limits, peer, demand, isPartner: partners.includes(entry) };
  });
  while (nowMs < DURATION_MS) {
    if (nowMs >= scenario.agentRestartMs) {
      scenario = { ...scenario, agentRestartMs: Infinity };
      agent = startAgent();
    }
    if (nowMs % REPORT_INTERVAL_MS === 0) {
      const share = agent.sharePerS();
      processes
        .filter(({ isPartner }) => isPartner)
        .forEach(({ limits, peer }) =>
          deliver(() => limits.onShare(ENDPOINT.address, share, peer)),
        );
    }
    deliveries
      .filter(({ atMs }) => atMs <= nowMs)
      .forEach((delivery) => {
        deliveries.splice(deliveries.indexOf(delivery), 1);
        delivery.run();
      });
    processes.forEach(({ limits, demand }) =>
      Array.from({ length: demand }).forEach(() => {
        if (limits.countFree(ENDPOINT, coldLimitPerS) < 1) return;
        limits.count(ENDPOINT, coldLimitPerS);
        sentAtMs.push(nowMs);
      }),
    );
    nowMs += TICK_MS;
  }
  return { sentAtMs, partnerCount: partners.length };
}

function findMostInOneSecond(timesMs: readonly number[]): number {
  let first = 0;
  return timesMs.reduce((most, timeMs, index) => {
    while (timesMs[first]! <= timeMs - 1_000) first += 1;
    return Math.max(most, index - first + 1);
  }, 0);
}

const anyScenario = fc.record({
  coldRequestsPerS: fc.integer({ min: 1, max: 60 }),
  entriesPerDataCentre: fc.array(fc.integer({ min: 0, max: 14 }), {
    minLength: 1,
    maxLength: 5,
  }),
  demand: fc.array(fc.integer({ min: 0, max: 3 }), {
    minLength: 1,
    maxLength: 20,
  }),
  messageDelayMs: fc.integer({ min: 0, max: 400 }),
  agentRestartMs: fc.integer({ min: 0, max: 2 * DURATION_MS }),
});

// Guards against a share of at least one request a second for each entry: with
// 35 entries and a limit of 27, a cold endpoint got more than it can handle.
test("all entries together stay within the rate limit of a cold endpoint", () => {
  fc.assert(
    fc.property(anyScenario, (scenario) => {
      const coldLimitPerS = computeColdLimit({
        coldRequestsPerS: scenario.coldRequestsPerS,
        overageFactor: 1.5,
        slack: 5,
      });
      const { sentAtMs } = simulate(scenario, coldLimitPerS);
      expect(findMostInOneSecond(sentAtMs)).toBeLessThanOrEqual(coldLimitPerS);
    }),
    { numRuns: 200 },
  );
}, 60_000);

// Guards against an endpoint that stays idle because the only entries that need
// it, those of an evacuated data centre, keep to their even shares.
test("one entry that needs an endpoint gets most of its rate within a second", () => {
  const demand = [0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0];
  const { sentAtMs, partnerCount } = simulate(
    {
      coldRequestsPerS: 15,
      entriesPerDataCentre: [7, 1, 1, 1, 1],
      demand,
      messageDelayMs: 5,
      agentRestartMs: Infinity,
    },
    27,
  );
  expect(partnerCount).toBe(11);
  const last = sentAtMs.filter((timeMs) => timeMs >= DURATION_MS - 1_000);
  expect(last.length).toBeGreaterThanOrEqual(8);
});

test("an entry that knows no other entry yet sends nothing without contact", () => {
  const limits = createRateLimits({
    nowMs: () => 0,
    ownHost: "entry-1",
    listEntryHosts: () => undefined,
  });
  expect(limits.isReachable(ENDPOINT, 27)).toBe(false);
  expect(limits.isReachable(ENDPOINT, Infinity)).toBe(true);
});
