/** Restarts of processes while the configuration service is stale or down. */

import {
  afterAll,
  afterEach,
  beforeAll,
  describe,
  expect,
  test,
} from "@jest/globals";
import { createUuidV7 } from "../src/uuid/mod.ts";
import {
  book,
  isReady,
  killProcess,
  setConfigAvailability,
  startProcess,
} from "./fleet_calls.ts";
import { FLEET_START_TIMEOUT_MS, startTestFleet } from "./fleet_fixture.ts";
import type { TestFleet } from "./fleet_fixture.ts";
import { waitUntil } from "./wait_until.ts";

/** Design, section 1.2: an accepted configuration is in force within 5 s. */
const IN_FORCE_LIMIT_MS = 5_000;
const RESTART_LIMIT_MS = 10_000;
const ENTRY = "entry-kolkata-1";
const AGENT = "ledger-kolkata-1";
const PEERS = ["entry-siliguri-1", "ledger-siliguri-1"];

let fleet: TestFleet;

beforeAll(async () => {
  fleet = await startTestFleet({
    languageEndpoints: 0,
    ledgerEndpoints: 1,
    ledgerWorkMs: 20,
  });
}, FLEET_START_TIMEOUT_MS);

afterEach(() => setConfigAvailability(fleet, "up"));

afterAll(async () => {
  await fleet?.close();
}, 30_000);

async function readVersion(name: string): Promise<number> {
  return (await fleet.readStatus(name))?.config?.version ?? 0;
}

/** Publishes a change; returns its version once every process has applied it. */
async function publishEverywhere(outDataCentres: readonly string[]) {
  const names = [ENTRY, AGENT, ...PEERS];
  const before = await Promise.all(names.map(readVersion));
  const newest = Math.max(...before);
  await fleet.publish({ servingVersion: "v1", outDataCentres });
  await waitUntil(
    "the change is in force everywhere",
    async () => {
      const versions = await Promise.all(names.map(readVersion));
      return versions.every((version) => version > newest);
    },
    IN_FORCE_LIMIT_MS,
  );
  return newest + 1;
}

describe("processes restart while the configuration service is faulty", () => {
  // Guards against a process that goes back to an older version on restart.
  test.each([
    ["stale", ENTRY],
    ["stale", AGENT],
    ["down", ENTRY],
    ["down", AGENT],
  ] as const)(
    "%s: %s starts with the version of its peers",
    async (fault, name) => {
      const out = fault === "stale" ? ["siliguri"] : [];
      const version = await publishEverywhere(out);
      await setConfigAvailability(fleet, fault);
      await killProcess(fleet, name);
      startProcess(fleet, name);
      const firstVersion = await waitUntil(
        `${name} is ready`,
        async () => {
          const ready = await isReady(fleet, name).catch(() => false);
          return ready && readVersion(name);
        },
        RESTART_LIMIT_MS,
      );
      expect(firstVersion).toBe(version);
    },
    20_000,
  );

  // Guards against an entry that routes requests without a configuration.
  test("an entry without peers and platform refuses every request", async () => {
    await setConfigAvailability(fleet, "down");
    await Promise.all(
      [ENTRY, AGENT, ...PEERS].map((name) => killProcess(fleet, name)),
    );
    startProcess(fleet, ENTRY);
    const result = await waitUntil("the entry answers", async () => {
      const reply = await book(fleet, ENTRY, createUuidV7(Date.now()));
      return reply.detail.includes("ECONNREFUSED") ? undefined : reply;
    });
    expect([result.outcome, result.detail]).toEqual([
      "not_run",
      "no_configuration",
    ]);
    expect(await isReady(fleet, ENTRY)).toBe(false);

    await setConfigAvailability(fleet, "up");
    await fleet.waitUntilReady([ENTRY], 20_000);
  }, 30_000);
});
