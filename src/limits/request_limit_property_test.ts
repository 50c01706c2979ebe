/**
 * The request limit of an endpoint over simulated entries and its agent: the
 * sum of their requests in any window, and the part of the rate that is used.
 */

import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { claimTurns, createPermitLender, PERMIT_VALID_MS } from "./mod.ts";
import type { PermitLender, TurnPosition } from "./mod.ts";

const STEP_MS = 10;
const WINDOW_MS = 4_000;
/** As in request_permits.ts. */
const ASK_INTERVAL_MS = 500;
const TURN_PART = 0.15;
const MIN_RATE_PER_S = 0.2;

const countAllowed = (ratePerS: number) => 1.5 * ratePerS * 4 + 5;

interface EntryModel {
  readonly host: string;
  permits: number[];
  /** By the id of the ask. */
  readonly askedAtMs: Map<number, number>;
  askId: number;
  turns: TurnPosition | undefined;
  /** It neither acts nor reads notices until then; its clock goes on. */
  frozenUntilMs: number;
  hasContact: boolean;
  /** Members that it does not know. */
  readonly unknown: ReadonlySet<string>;
}

interface Scenario {
  readonly ratePerS: number;
  readonly entries: number;
  /** Entries that have requests for the endpoint, of all. */
  readonly demandPart: number;
  /** Entries without contact to the agent, of all. */
  readonly cutPart: number;
  /** Delay of notices in each direction. */
  readonly delayMs: number;
  /** Part of the rate for entries without contact. */
  readonly turnPart: number;
  /** An entry with requests has one in each step of 10 ms with this chance. */
  readonly demandPerStep: number;
  readonly restartsAgent: boolean;
  readonly freezes: boolean;
  readonly unknownPart: number;
  /** Offset of the time of day of each tenth entry. */
  readonly clockOffsetMs: number;
}

const DURATION_MS = 20_000;

/** Returns the times at which requests are sent. */
function simulate(scenario: Scenario): readonly number[] {
  const { ratePerS, delayMs } = scenario;
  let now = 0;
  let drawn = 0;
  const hosts = Array.from(
    { length: scenario.entries },
    (_, index) => `entry-${index}`,
  );
  const isPart = (index: number, part: number) =>
    Math.floor((index + 1) * part) > Math.floor(index * part);
  const entries = hosts.map((host, index): EntryModel => ({
    host,
    permits: [],
    askedAtMs: new Map(),
    askId: 0,
    turns: undefined,
    frozenUntilMs: 0,
    hasContact: !isPart(index, scenario.cutPart),
    unknown: new Set(
      hosts.filter((_, other) => isPart(other + index, scenario.unknownPart)),
    ),
  }));
  /** True with the given chance; even steps of the golden ratio. */
  const draw = (chance: number) => {
    drawn = (drawn + 0.618_034) % 1;
    return drawn < chance;
  };
  const createLender = (): PermitLender => {
    const created = createPermitLender(() => now);
    created.setLimit(ratePerS);
    return created;
  };
  let lender = createLender();
  const sentMs: number[] = [];
  const mail: { readonly atMs: number; readonly deliver: () => void }[] = [];

  function takePermit(entry: EntryModel, index: number): boolean {
    entry.permits = entry.permits.filter((untilMs) => untilMs > now);
    if (entry.permits.length > 0) {
      entry.permits.shift();
      return true;
    }
    if (entry.hasContact) return false;
    const offsetMs = index % 10 === 0 ? scenario.clockOffsetMs : 0;
    const { position, validForMs } = claimTurns(
      {
        endpoint: "e1",
        ratePerS: Math.max(ratePerS, MIN_RATE_PER_S) * scenario.turnPart,
        wallMs: 1e12 + now + offsetMs,
        ownHost: entry.host,
        otherHosts: hosts.filter(
          (host) => host !== entry.host && !entry.unknown.has(host),
        ),
      },
      entry.turns,
    );
    entry.turns = position;
    const [first, ...others] = validForMs.map((forMs) => now + forMs);
    entry.permits.push(...others);
    return first !== undefined;
  }

  function act(entry: EntryModel, index: number) {
    if (entry.frozenUntilMs > now) return;
    if (!isPart(index, scenario.demandPart)) return;
    if (!draw(scenario.demandPerStep)) return;
    if (takePermit(entry, index)) {
      sentMs.push(now);
      return;
    }
    const lastAskMs = entry.askedAtMs.get(entry.askId) ?? -Infinity;
    if (!entry.hasContact || now - lastAskMs < ASK_INTERVAL_MS) return;
    entry.askId += 1;
    entry.askedAtMs.set(entry.askId, now);
    const { askId, host: name } = entry;
    mail.push({
      atMs: now + delayMs,
      deliver: () => lender.ask({ entry: name, askId, count: 2 }),
    });
  }

  for (; now < DURATION_MS; now += STEP_MS) {
    if (scenario.restartsAgent && now === 8_000) lender = createLender();
    if (scenario.freezes && now % 5_000 === 0) {
      const frozen = entries[(now / 5_000) % entries.length]!;
      frozen.frozenUntilMs = now + 2_000;
    }
    const due = mail.filter(({ atMs }) => atMs <= now);
    mail.splice(0, mail.length, ...mail.filter(({ atMs }) => atMs > now));
    due.forEach(({ deliver }) => deliver());
    lender.grant().forEach(({ entry: host, askId, count }) => {
      const entry = entries.find((item) => item.host === host)!;
      mail.push({
        atMs: Math.max(now + delayMs, entry.frozenUntilMs),
        deliver() {
          const untilMs = entry.askedAtMs.get(askId)! + PERMIT_VALID_MS;
          entry.permits.push(...Array<number>(count).fill(untilMs));
        },
      });
    });
    entries.forEach(act);
  }
  return sentMs;
}

function countMost(times: readonly number[]): number {
  let first = 0;
  return times.reduce((most, atMs, index) => {
    while (times[first]! <= atMs - WINDOW_MS) first += 1;
    return Math.max(most, index - first + 1);
  }, 0);
}

const SOUND: Scenario = {
  ratePerS: 1.6,
  entries: 4,
  demandPart: 1,
  cutPart: 0,
  delayMs: 10,
  turnPart: TURN_PART,
  demandPerStep: 1,
  restartsAgent: false,
  freezes: false,
  unknownPart: 0,
  clockOffsetMs: 0,
};

const WITHOUT_AGENTS = { cutPart: 1, turnPart: 1 };

describe("requests of all entries to an endpoint that names a limit", () => {
  // Guards against shares that are each within the limit and exceed it in sum.
  test("stay within it, whatever is lost, frozen, restarted or unknown", () => {
    fc.assert(
      fc.property(
        fc.record({
          ratePerS: fc.constantFrom(0, 0.2, 1, 1.6, 5, 30),
          entries: fc.constantFrom(1, 4, 14, 35, 61),
          demandPart: fc.constantFrom(0.1, 0.5, 1),
          cutPart: fc.constantFrom(0, 0.5, 1),
          delayMs: fc.constantFrom(0, 10, 300),
          turnPart: fc.constant(TURN_PART),
          demandPerStep: fc.constantFrom(0.02, 1),
          restartsAgent: fc.boolean(),
          freezes: fc.boolean(),
          unknownPart: fc.constantFrom(0, 0.2),
          clockOffsetMs: fc.constantFrom(0, 7_000, -3_300),
        }),
        (scenario) => {
          const most = countMost(simulate(scenario));
          expect(most).toBeLessThanOrEqual(countAllowed(scenario.ratePerS));
        },
      ),
      { numRuns: 60 },
    );
  });

  test.each([1, 4, 35])(
    "stay within it with %d entries and no agents",
    (entries) => {
      [0.2, 1, 1.6, 5, 30].forEach((ratePerS) =>
        [0.02, 1].forEach((demandPerStep) => {
          const most = countMost(
            simulate({
              ...SOUND,
              ...WITHOUT_AGENTS,
              ...{ entries, ratePerS, demandPerStep, unknownPart: 0.2 },
              clockOffsetMs: 7_000,
            }),
          );
          expect(most).toBeLessThanOrEqual(countAllowed(ratePerS));
        }),
      );
    },
  );

  test("stay within it with 400 entries", () => {
    const scenario = { ...SOUND, ratePerS: 0.2, entries: 400, cutPart: 0.5 };
    expect(countMost(simulate(scenario))).toBeLessThanOrEqual(
      countAllowed(0.2),
    );
  });

  // Guards against an endpoint that gets one request where it takes five.
  test.each([
    { what: "all entries", fields: {} },
    { what: "one entry of ten", fields: { entries: 10, demandPart: 0.1 } },
    { what: "61 entries", fields: { entries: 61, ratePerS: 5 } },
    { what: "400 entries", fields: { entries: 400, ratePerS: 5 } },
    { what: "half of the entries", fields: { entries: 10, cutPart: 0.5 } },
    { what: "four entries without agents", fields: { ...WITHOUT_AGENTS } },
    {
      what: "four entries without agents, with few requests more",
      fields: { ...WITHOUT_AGENTS, demandPerStep: 0.03, ratePerS: 6 },
    },
    {
      what: "35 entries without agents",
      fields: { ...WITHOUT_AGENTS, entries: 35, ratePerS: 5 },
    },
    { what: "a slow link", fields: { delayMs: 200, ratePerS: 5 } },
  ])("use most of it through $what", ({ fields }) => {
    const scenario = { ...SOUND, ...fields };
    const used = simulate(scenario).length / (DURATION_MS / 1_000);
    // The agent lends nothing in the first 1.5 s.
    expect(used / scenario.ratePerS).toBeGreaterThanOrEqual(0.7);
  });
});
