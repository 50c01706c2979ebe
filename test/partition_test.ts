/**
 * Network partitions between an entry and agents. Relays between the processes
 * hold back all data, keep the connections open and heal later.
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
  createKeyForRunner,
  describeResult,
  isCompleteOrUnknown,
  startStreams,
} from "./fleet_calls.ts";
import {
  FLEET_START_TIMEOUT_MS,
  sendStream,
  startTestFleet,
} from "./fleet_fixture.ts";
import type { TestFleet } from "./fleet_fixture.ts";
import { waitUntil } from "./wait_until.ts";

/** Leaves time for retries after the idle timeout of 8 s of a connection. */
const REQUEST_TIMEOUT_MS = 20_000;
/** Tolerance after the request's deadline, for a host under load. */
const DEADLINE_TOLERANCE_MS = 1_000;
const [PARTITIONED_ENTRY, OTHER_ENTRY] = [
  "entry-kolkata-1",
  "entry-siliguri-1",
];
const ENTRIES = [PARTITIONED_ENTRY, OTHER_ENTRY] as const;
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
}, FLEET_START_TIMEOUT_MS);

// A failed test must not leave its partition to the next one.
afterEach(() => fleet.relays.heal("drop"));

afterAll(async () => {
  await fleet?.close();
}, 30_000);

function createLedgerKey(): string {
  return createKeyForRunner(LEDGER, LEDGERS);
}

function countLedgerRuns(key: string): Promise<number> {
  return countRuns(LEDGERS.map(fleet.endpointUrlOf), key);
}

/** Sends a booking and returns once the ledger runs it. */
async function startBooking(entry: string) {
  const key = createLedgerKey();
  const result = book(fleet, entry, key);
  await waitUntil(
    "the ledger runs the booking",
    async () => (await countLedgerRuns(key)) === 1,
  );
  return { key, result };
}

/** Sends a booking that the relay holds back. */
async function sendHeldBooking() {
  const key = createLedgerKey();
  const result = book(fleet, PARTITIONED_ENTRY, key);
  await waitUntil("the relay holds the booking", () =>
    fleet.relays.isHeld(key),
  );
  return { key, result };
}

async function expectAllEndpointsServe() {
  const results = await waitUntil(
    "both entries reach every endpoint again",
    async () => {
      const all = await Promise.all(
        ENTRIES.flatMap((entry) => [
          ...LEDGERS.map((ledger) =>
            book(fleet, entry, createKeyForRunner(ledger, LEDGERS)),
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
    ({ totalMs }) => totalMs > REQUEST_TIMEOUT_MS + DEADLINE_TOLERANCE_MS,
  );
  expect(slow).toEqual([]);
}

describe("a partition heals before either side detects it", () => {
  // Guards against a second run of a booking that arrives late after the same
  // booking has run through the other entry.
  test("delayed requests run once and their answers are complete", async () => {
    const streams = await startStreams(fleet, {
      entries: ENTRIES,
      count: 12,
      maxTokens: 60,
    });
    const running = await startBooking(PARTITIONED_ENTRY);
    fleet.relays.partition(PARTITIONED_ENTRY, [...LEDGERS, ...ENGINES]);
    const held = await sendHeldBooking();
    const runBefore = await countLedgerRuns(held.key);
    const repeated = await book(fleet, OTHER_ENTRY, held.key);
    fleet.relays.heal("deliver");

    const streamResults = await Promise.all(streams);
    const bookingResults = await Promise.all([running.result, held.result]);
    expect(runBefore).toBe(0);
    expect(
      [...streamResults, ...bookingResults, repeated].map(describeResult),
    ).toEqual(Array.from({ length: 15 }, () => "answered_whole"));
    expect(await countLedgerRuns(running.key)).toBe(1);
    expect(await countLedgerRuns(held.key)).toBe(1);
    expectWithinDeadline([...streamResults, ...bookingResults]);
    await expectAllEndpointsServe();
  }, 20_000);
});

describe("a partition lasts until both sides close their connections", () => {
  const unreachableHosts = [LEDGER, ENGINES[0]] as const;

  // Guards against callers that wait on a silent connection, and against
  // "not run" for a booking that ran on the far side of the partition.
  test("callers get complete answers or unknown, and bookings run once", async () => {
    const streams = await startStreams(fleet, {
      entries: [PARTITIONED_ENTRY],
      count: 12,
      maxTokens: 100,
    });
    const running = await startBooking(PARTITIONED_ENTRY);
    fleet.relays.partition(PARTITIONED_ENTRY, unreachableHosts);
    const held = await sendHeldBooking();
    const newStreamResults = await Promise.all(
      Array.from({ length: 6 }, (_, index) =>
        sendStream(fleet, PARTITIONED_ENTRY, {
          prompt: `Partition ${index}`,
          maxTokens: 3,
        }),
      ),
    );

    const streamResults = await Promise.all(streams);
    const bookingResults = await Promise.all([running.result, held.result]);
    expect(streamResults.map(describeResult)).toEqual(
      streams.map(() => "answered_whole"),
    );
    // The retry budget allows a further attempt for only some of them.
    expect(
      newStreamResults.filter((result) => !isCompleteOrUnknown(result)),
    ).toEqual([]);
    expect(bookingResults.map(describeResult)).toEqual([
      "unknown connection_lost",
      "unknown connection_lost",
    ]);
    expectWithinDeadline([
      ...streamResults,
      ...newStreamResults,
      ...bookingResults,
    ]);

    // The entry has detected by now that it cannot reach the runner.
    const unreachable = await book(fleet, PARTITIONED_ENTRY, running.key);
    expect(describeResult(unreachable)).toBe("unknown runner_unreachable");
    const elsewhere = await Promise.all(
      [running, held].map(({ key }) => book(fleet, OTHER_ENTRY, key)),
    );
    expect(elsewhere.map(describeResult)).toEqual([
      "answered_whole",
      "answered_whole",
    ]);

    fleet.relays.heal("drop");
    await expectAllEndpointsServe();
    const again = await Promise.all(
      [running, held].map(({ key }) => book(fleet, PARTITIONED_ENTRY, key)),
    );
    expect(again.map(describeResult)).toEqual([
      "answered_whole",
      "answered_whole",
    ]);
    expect(await countLedgerRuns(running.key)).toBe(1);
    expect(await countLedgerRuns(held.key)).toBe(1);
  }, 40_000);
});
