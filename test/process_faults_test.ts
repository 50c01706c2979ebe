/** Guarantees of the design under faults of real processes. */

import {
  afterAll,
  afterEach,
  beforeAll,
  describe,
  expect,
  test,
} from "@jest/globals";
import { request } from "undici";
import type { CallResult } from "../bench/call.ts";
import { CRASH_PROMPT } from "../stand_ins/engine.ts";
import { HTTP_PORT } from "../bench/fleet_hosts.ts";
import {
  book,
  countRuns,
  createKeyOf,
  isWholeOrUnknown,
} from "./fleet_calls.ts";
import {
  createPrompt,
  FLEET_START_MS,
  readJson,
  sendStream,
  startTestFleet,
} from "./fleet_fixture.ts";
import type { TestFleet } from "./fleet_fixture.ts";
import { waitUntil } from "./wait_until.ts";

/** Design, section 1.5: last new dispatch into a data centre that left. */
const DISPATCH_LIMIT_MS = 2_000;
/** Design, section 6.5: allowance for clock skew above an agent's start. */
const KEY_FLOOR_MS = 2_000;
const ENTRIES = ["entry-kolkata-1", "entry-siliguri-1"] as const;
const LEDGERS = ["ledger-kolkata-1", "ledger-siliguri-1"] as const;
const ENGINES = ["kolkata", "siliguri"].flatMap((dataCentre) =>
  [1, 2].map((index) => `assistant-${dataCentre}-${index}`),
);

let fleet: TestFleet;

beforeAll(async () => {
  fleet = await startTestFleet({
    languageEndpoints: 2,
    ledgerEndpoints: 1,
    ledgerWorkMs: 400,
  });
}, FLEET_START_MS);

// A case that fails must not leave its fault to the next one.
afterEach(async () => {
  fleet.processes().forEach((process) => process.signal("SIGCONT"));
  await fleet.setPlatform("up");
});

afterAll(async () => {
  await fleet?.close();
}, 30_000);

async function readyStatus(hostName: string): Promise<number> {
  const { statusCode, body } = await request(`${fleet.urlOf(hostName)}/readyz`);
  await body.dump();
  return statusCode;
}

async function countAllStarted(names: readonly string[]): Promise<number> {
  const counts = await Promise.all(names.map((n) => fleet.countStarted(n)));
  return counts.reduce((sum, count) => sum + count, 0);
}

describe("an agent of a ledger is frozen and replaced", () => {
  const ledger = LEDGERS[0];
  const frozen = () => `${ledger}@${oldIp}`;
  let oldIp = "";
  let ledgerUrls: readonly string[] = [];

  let runs: readonly number[] = [];
  let told: readonly CallResult[] = [];
  let toldWhileFrozen: readonly CallResult[] = [];

  beforeAll(async () => {
    oldIp = fleet.findHost(ledger).ip;
    const oldUrl = fleet.endpointUrlOf(ledger);
    const heldKey = createKeyOf(ledger, LEDGERS);
    const held = book(fleet, ENTRIES[0], heldKey);
    await waitUntil(
      "the ledger runs the held key",
      async () => (await countRuns([oldUrl], heldKey)) === 1,
    );
    fleet.signal(ledger, "SIGSTOP");
    const unreadKey = createKeyOf(ledger, LEDGERS);
    const unread = book(fleet, ENTRIES[0], unreadKey);

    // The host list lags: it still names the frozen agent.
    await fleet.replaceHost(ledger, oldIp.replace(/\d+$/, "110"));
    ledgerUrls = [oldUrl, fleet.endpointUrlOf(ledger)];
    await fleet.waitUntilReady([ledger], 10_000);
    const startedMs = Date.now();
    await waitUntil(
      "new keys are above the floor of the replacement",
      () => Date.now() > startedMs + KEY_FLOOR_MS,
    );
    const newKey = createKeyOf(ledger, LEDGERS);
    const early = book(fleet, ENTRIES[0], newKey);
    await fleet.publishHosts();

    const repeated = await waitUntil(
      "the other entry reaches the replacement",
      async () => {
        const result = await book(fleet, ENTRIES[1], newKey);
        return result.outcome === "answered_whole" ? result : undefined;
      },
    );
    const heldAgain = await book(fleet, ENTRIES[1], heldKey);
    const unreadAgain = await book(fleet, ENTRIES[1], unreadKey);
    fleet.signal(frozen(), "SIGCONT");

    told = await Promise.all([held, unread, early]);
    toldWhileFrozen = [repeated, heldAgain, unreadAgain];
    runs = await Promise.all(
      [heldKey, unreadKey, newKey].map((key) => countRuns(ledgerUrls, key)),
    );
  }, 25_000);

  // Guards against a second run of a key by the process that wakes late.
  test("keys run at most once", () => {
    expect(runs[0]).toBe(1);
    expect(runs[1]).toBeLessThanOrEqual(1);
    expect(runs[2]).toBe(1);
    expect(toldWhileFrozen.map((r) => r.outcome)).toEqual([
      "answered_whole",
      "unknown",
      "unknown",
    ]);
    expect(told.map((r) => r.outcome)).not.toContain("wrong");
    expect(told.map((r) => r.outcome)).not.toContain("cut");
  });

  // Guards against "not_run" from the woken process for a key that its
  // replacement ran meanwhile.
  test("nobody is told not_run for a key that ran", () => {
    const denied = told.filter(
      (result, index) => result.outcome === "not_run" && runs[index]! > 0,
    );
    expect(denied).toEqual([]);
  });

  // Design, section 6.5: it stops permanently when it learns of the other.
  test("the frozen agent stops once it is awake", async () => {
    const isStopped = () =>
      readJson<{ closed?: string }>(`http://${oldIp}:${HTTP_PORT}/status`).then(
        (status) => status.closed !== undefined,
        () => true,
      );
    await waitUntil("the frozen agent has stopped", isStopped, 10_000);
  }, 15_000);
});

describe("an entry is frozen while a data centre leaves", () => {
  const out = "kolkata";
  const [frozenEntry, runningEntry] = [ENTRIES[1], ENTRIES[0]];
  const leaving = [...ENGINES, ...LEDGERS].filter((n) => n.includes(out));

  // Guards against dispatches by the view from before a pause.
  test("no new work enters it, and its work in progress ends", async () => {
    const before = await countAllStarted(ENGINES);
    const streams = Array.from({ length: 12 }, (_, index) =>
      sendStream(fleet, ENTRIES[index % 2]!, {
        prompt: `Leaving ${index}`,
        maxTokens: 200,
      }),
    );
    await waitUntil(
      "all streams have started",
      async () => (await countAllStarted(ENGINES)) - before >= streams.length,
    );
    fleet.signal(frozenEntry, "SIGSTOP");
    const stalled = Array.from({ length: 8 }, (_, index) =>
      sendStream(fleet, frozenEntry, {
        prompt: `Stalled ${index}`,
        maxTokens: 5,
      }),
    );
    await fleet.publish({ servingVersion: "v1", outDataCentres: [out] });
    const outAtMs = performance.now();
    const version = await waitUntil("the running entry has it", async () => {
      const status = await fleet.readStatus(runningEntry);
      const found = status?.config?.version ?? 0;
      return found >= 2 && found;
    });
    await fleet.setPlatform("down");

    // Steady load through the running entry while the change spreads.
    const load: Promise<CallResult>[] = [];
    await waitUntil("the time limit of the change has passed", () => {
      load.push(
        sendStream(fleet, runningEntry, {
          prompt: `Load ${load.length}`,
          maxTokens: 3,
        }),
      );
      return performance.now() > outAtMs + DISPATCH_LIMIT_MS;
    });
    const atLimit = await countAllStarted(leaving);

    fleet.signal(frozenEntry, "SIGCONT");
    const woken = await Promise.all(stalled);
    const later = await Promise.all(
      Array.from({ length: 16 }, (_, index) =>
        sendStream(fleet, ENTRIES[index % 2]!, {
          prompt: `Later ${index}`,
          maxTokens: 3,
        }),
      ),
    );
    const ended = await Promise.all(streams);
    const loaded = await Promise.all(load);

    expect(await countAllStarted(leaving)).toBe(atLimit);
    expect(ended.map((r) => r.outcome + r.detail)).toEqual(
      streams.map(() => "answered_whole"),
    );
    const rest = [...woken, ...loaded, ...later];
    expect(
      rest.filter((r) => !["answered_whole", "not_run"].includes(r.outcome)),
    ).toEqual([]);
    expect(later.some((r) => r.outcome === "answered_whole")).toBe(true);
    const status = await fleet.readStatus(frozenEntry);
    expect(status?.config?.version).toBe(version);

    await fleet.setPlatform("up");
    await fleet.publish({ servingVersion: "v1", outDataCentres: [] });
    await waitUntil("the data centre is back", async () => {
      const all = await Promise.all(
        [...ENTRIES, ...leaving].map((name) => fleet.readStatus(name)),
      );
      return all.every((s) => (s?.config?.version ?? 0) > version);
    });
  }, 25_000);
});

describe("processes shut down with long streams under way", () => {
  async function startStreams(count: number) {
    const before = await countAllStarted(ENGINES);
    const streams = Array.from({ length: count }, (_, index) =>
      sendStream(fleet, ENTRIES[index % 2]!, {
        prompt: createPrompt("Long"),
        maxTokens: 250,
      }),
    );
    await waitUntil(
      "all streams have started",
      async () => (await countAllStarted(ENGINES)) - before >= count,
    );
    return streams;
  }

  // Guards against streams that end with the process that carries them.
  test("SIGTERM to an entry ends no stream early", async () => {
    const streams = await startStreams(8);
    fleet.signal(ENTRIES[0], "SIGTERM");
    await waitUntil(
      "the entry is not ready",
      async () => (await readyStatus(ENTRIES[0])) === 503,
      1_000,
    );
    const refused = await waitUntil("the entry takes no new work", async () => {
      const result = await sendStream(fleet, ENTRIES[0], {
        prompt: "Too late",
        maxTokens: 2,
      });
      return result.outcome === "answered_whole" ? undefined : result;
    });
    const ended = await Promise.all(streams);

    expect(refused.detail).toMatch(/shutting_down|ECONNREFUSED/);
    expect(ended.map((r) => r.outcome + r.detail)).toEqual(
      streams.map(() => "answered_whole"),
    );
    expect(await fleet.processes().get(ENTRIES[0])!.exited).toBe(0);
    fleet.startEntry(ENTRIES[0]);
    await fleet.waitUntilReady([ENTRIES[0]], 10_000);
  }, 25_000);

  // Guards against work that arrives while the agent leaves.
  test("SIGTERM to an agent ends no stream early", async () => {
    const leaver = ENGINES[0]!;
    const streams = await startStreams(16);
    fleet.signal(leaver, "SIGTERM");
    await waitUntil(
      "the agent is not ready",
      async () => (await readyStatus(leaver)) === 503,
      1_000,
    );
    const started = await fleet.countStarted(leaver);
    const later = await Promise.all(
      Array.from({ length: 24 }, (_, index) =>
        sendStream(fleet, ENTRIES[index % 2]!, {
          prompt: `After ${index}`,
          maxTokens: 3,
        }),
      ),
    );
    const ended = await Promise.all(streams);

    expect(await fleet.countStarted(leaver)).toBe(started);
    expect(ended.map((r) => r.outcome + r.detail)).toEqual(
      streams.map(() => "answered_whole"),
    );
    expect(
      later.filter((r) => !["answered_whole", "not_run"].includes(r.outcome)),
    ).toEqual([]);
    expect(await fleet.processes().get(leaver)!.exited).toBe(0);
    fleet.startAgent(leaver);
    await fleet.waitUntilReady([leaver], 10_000);
    await fleet.warmUp();
  }, 25_000);
});

describe("processes are killed in mid-stream", () => {
  async function killDuringStreams(processName: string) {
    const before = await countAllStarted(ENGINES);
    const results: CallResult[] = [];
    const streams = Array.from({ length: 16 }, (_, index) =>
      sendStream(fleet, ENTRIES[index % 2]!, {
        prompt: createPrompt("Killed"),
        maxTokens: 120,
      }).then((result) => results.push(result)),
    );
    await waitUntil(
      "all streams have started",
      async () => (await countAllStarted(ENGINES)) - before >= streams.length,
    );
    fleet.signal(processName, "SIGKILL");
    await Promise.all(streams);
    return results;
  }

  // Guards against answers that are cut off, mixed or repeated in part.
  test("SIGKILL of an agent leaves whole answers or unknown", async () => {
    const victim = ENGINES[1]!;
    const results = await killDuringStreams(victim);
    expect(results.filter((r) => !isWholeOrUnknown(r))).toEqual([]);
    fleet.startAgent(victim);
    await fleet.waitUntilReady([victim], 10_000);
    await fleet.warmUp();
  }, 25_000);

  test("SIGKILL of an engine leaves whole answers or unknown", async () => {
    const victim = ENGINES[2]!;
    const results = await killDuringStreams(`endpoint-${victim}`);
    expect(results.filter((r) => !isWholeOrUnknown(r))).toEqual([]);
    await fleet.startEndpoint(victim);
    await fleet.warmUp();
  }, 25_000);
});

describe("a request that crashes engines is sent again and again", () => {
  const prompt = `${CRASH_PROMPT} now`;

  // Guards against one client account bringing down every endpoint.
  test("two endpoints crash at most, and it is quarantined", async () => {
    const before = await fleet.countCrashes();
    const results: CallResult[] = [];
    await waitUntil("the request is quarantined at both entries", async () => {
      const entry = ENTRIES[results.length % 2]!;
      results.push(await sendStream(fleet, entry, { prompt, maxTokens: 4 }));
      const last = results.slice(-2);
      return (
        last.length === 2 &&
        last.every(({ detail }) => detail === "request_quarantined")
      );
    });
    // The same body of another account is another fingerprint; the crash
    // prompt itself would break more engines, so another body stands for it.
    const innocent = await waitUntil(
      "other requests are answered",
      async () => {
        const all = await Promise.all(
          [0, 1].map((account) =>
            sendStream(fleet, ENTRIES[account]!, {
              prompt: "An innocent question",
              maxTokens: 4,
              account,
            }),
          ),
        );
        return all.every((r) => r.outcome === "answered_whole") && all;
      },
    );

    expect(results.map((r) => r.outcome)).not.toContain("answered_whole");
    expect(results.at(-1)!.outcome).toBe("not_run");
    expect(innocent).toHaveLength(2);
    expect((await fleet.countCrashes()) - before).toBeLessThanOrEqual(2);
  }, 25_000);

  // Guards against a quarantine that reaches beyond the account: the engines
  // of this last case may crash, but the request must get as far as them.
  test("the same prompt of another account is not refused", async () => {
    await fleet.warmUp();
    const before = await fleet.countCrashes();
    const result = await sendStream(fleet, ENTRIES[0], {
      prompt,
      maxTokens: 4,
      account: 1,
    });
    expect(result.detail).not.toBe("request_quarantined");
    expect(await fleet.countCrashes()).toBeGreaterThan(before);
  }, 25_000);
});
