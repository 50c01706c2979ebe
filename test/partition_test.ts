/**
 * A partition between an entry and agents: relays between the processes hold
 * back every byte and close nothing, and heal later.
 */

import {
  afterAll,
  afterEach,
  beforeAll,
  describe,
  expect,
  test,
} from "@jest/globals";
import type { CallResult } from "../bench/call.ts";
import {
  book,
  countRuns,
  createKeyOf,
  describeResult,
  isWholeOrUnknown,
  startStreams,
} from "./fleet_calls.ts";
import { FLEET_START_MS, sendStream, startTestFleet } from "./fleet_fixture.ts";
import type { TestFleet } from "./fleet_fixture.ts";
import { waitUntil } from "./wait_until.ts";

/** Leaves time for the rest after the 8 s in which silence is noticed. */
const REQUEST_TIMEOUT_MS = 20_000;
/** Beyond the request's deadline, for a busy machine. */
const ALLOWANCE_MS = 1_000;
const [CUT_ENTRY, OTHER_ENTRY] = ["entry-kolkata-1", "entry-siliguri-1"];
const ENTRIES = [CUT_ENTRY, OTHER_ENTRY] as const;
const LEDGERS = ["ledger-kolkata-1", "ledger-siliguri-1"] as const;
const LEDGER = LEDGERS[0];
const ENGINES = ["assistant-kolkata-1", "assistant-siliguri-1"] as const;

let fleet: TestFleet;

beforeAll(async () => {
  fleet = await startTestFleet({
    languageEndpoints: 1,
    ledgerEndpoints: 1,
    ledgerWorkMs: 400,
    hasRelays: true,
    requestTimeoutMs: REQUEST_TIMEOUT_MS,
  });
}, FLEET_START_MS);

// A case that fails must not leave its fault to the next one.
afterEach(() => fleet.relays.heal("is_lost"));

afterAll(async () => {
  await fleet?.close();
}, 30_000);

function createKey(): string {
  return createKeyOf(LEDGER, LEDGERS);
}

function countAt(key: string): Promise<number> {
  return countRuns(LEDGERS.map(fleet.endpointUrlOf), key);
}

/** Sends a booking and returns once the ledger runs it. */
async function startBooking(entry: string) {
  const key = createKey();
  const result = book(fleet, entry, key);
  await waitUntil("the ledger runs it", async () => (await countAt(key)) === 1);
  return { key, result };
}

/** Sends a booking that the cut holds back. */
async function sendIntoCut() {
  const key = createKey();
  const result = book(fleet, CUT_ENTRY, key);
  await waitUntil("it is held back", () => fleet.relays.isHeld(key));
  return { key, result };
}

async function expectServed() {
  const results = await waitUntil(
    "both entries reach every endpoint again",
    async () => {
      const all = await Promise.all(
        ENTRIES.flatMap((entry) => [
          ...LEDGERS.map((ledger) =>
            book(fleet, entry, createKeyOf(ledger, LEDGERS)),
          ),
          sendStream(fleet, entry, { prompt: "After", maxTokens: 3 }),
        ]),
      );
      return all.every((r) => r.outcome === "answered_whole") && all;
    },
  );
  expect(results).toHaveLength(6);
}

function expectWithinDeadline(results: readonly CallResult[]) {
  const slow = results.filter(
    ({ totalMs }) => totalMs > REQUEST_TIMEOUT_MS + ALLOWANCE_MS,
  );
  expect(slow).toEqual([]);
}

describe("an entry is cut off and back before anybody has noticed", () => {
  // Guards against a booking that runs when it arrives late although it has
  // run through the other entry meanwhile.
  test("late requests and answers arrive once and whole", async () => {
    const streams = await startStreams(fleet, {
      entries: ENTRIES,
      count: 12,
      maxTokens: 60,
    });
    const running = await startBooking(CUT_ENTRY);
    fleet.relays.cut(CUT_ENTRY, [...LEDGERS, ...ENGINES]);
    const held = await sendIntoCut();
    const runBefore = await countAt(held.key);
    const repeated = await book(fleet, OTHER_ENTRY, held.key);
    fleet.relays.heal("arrives");

    const ended = await Promise.all(streams);
    const booked = await Promise.all([running.result, held.result]);
    expect(runBefore).toBe(0);
    expect([...ended, ...booked, repeated].map(describeResult)).toEqual(
      Array.from({ length: 15 }, () => "answered_whole"),
    );
    expect(await countAt(running.key)).toBe(1);
    expect(await countAt(held.key)).toBe(1);
    expectWithinDeadline([...ended, ...booked]);
    await expectServed();
  }, 20_000);
});

describe("an entry is cut off until both sides give up", () => {
  const cutOff = [LEDGER, ENGINES[0]] as const;

  // Guards against callers that wait for a connection that says nothing, and
  // against "not run" for a booking that ran beyond the cut.
  test("callers get whole answers or unknown, and bookings run once", async () => {
    const streams = await startStreams(fleet, {
      entries: [CUT_ENTRY],
      count: 12,
      maxTokens: 100,
    });
    const running = await startBooking(CUT_ENTRY);
    fleet.relays.cut(CUT_ENTRY, cutOff);
    const held = await sendIntoCut();
    const early = await Promise.all(
      Array.from({ length: 6 }, (_, index) =>
        sendStream(fleet, CUT_ENTRY, { prompt: `Cut ${index}`, maxTokens: 3 }),
      ),
    );

    const ended = await Promise.all(streams);
    const lost = await Promise.all([running.result, held.result]);
    expect(ended.map(describeResult)).toEqual(
      streams.map(() => "answered_whole"),
    );
    // The retry budget allows only some of them another attempt.
    expect(early.filter((result) => !isWholeOrUnknown(result))).toEqual([]);
    expect(lost.map(describeResult)).toEqual([
      "unknown connection_lost",
      "unknown connection_lost",
    ]);
    expectWithinDeadline([...ended, ...early, ...lost]);

    // The entry knows by now that it cannot reach the runner.
    const unreachable = await book(fleet, CUT_ENTRY, running.key);
    expect(describeResult(unreachable)).toBe("unknown runner_unreachable");
    const elsewhere = await Promise.all(
      [running, held].map(({ key }) => book(fleet, OTHER_ENTRY, key)),
    );
    expect(elsewhere.map(describeResult)).toEqual([
      "answered_whole",
      "answered_whole",
    ]);

    fleet.relays.heal("is_lost");
    await expectServed();
    const again = await Promise.all(
      [running, held].map(({ key }) => book(fleet, CUT_ENTRY, key)),
    );
    expect(again.map(describeResult)).toEqual([
      "answered_whole",
      "answered_whole",
    ]);
    expect(await countAt(running.key)).toBe(1);
    expect(await countAt(held.key)).toBe(1);
  }, 40_000);
});
