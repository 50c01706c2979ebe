/** Checks the guarantees of the design under faults of real processes. */

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
  createKeyForRunner,
  describeResult,
  isCompleteOrUnknown,
} from "./fleet_calls.ts";
import {
  createPrompt,
  FLEET_START_TIMEOUT_MS,
  readJson,
  sendStream,
  startTestFleet,
} from "./fleet_fixture.ts";
import type { TestFleet } from "./fleet_fixture.ts";
import { waitUntil } from "./wait_until.ts";

/** Design, section 1.5: limit for the last dispatch to a data centre that is out. */
const DISPATCH_LIMIT_MS = 2_000;
/** Design, section 6.5: allowance for clock skew after an agent's start. */
const CLOCK_SKEW_ALLOWANCE_MS = 2_000;
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
}, FLEET_START_TIMEOUT_MS);

// A failed test must not leave its fault to the next one.
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

describe("an agent of a ledger is suspended and replaced", () => {
  const ledger = LEDGERS[0];
  const suspendedName = () => `${ledger}@${oldIp}`;
  let oldIp = "";
  let ledgerUrls: readonly string[] = [];

  let runs: readonly number[] = [];
  let results: readonly CallResult[] = [];
  let resultsWhileSuspended: readonly CallResult[] = [];

  beforeAll(async () => {
    oldIp = fleet.findHost(ledger).ip;
    const oldUrl = fleet.endpointUrlOf(ledger);
    const runningKey = createKeyForRunner(ledger, LEDGERS);
    const running = book(fleet, ENTRIES[0], runningKey);
    await waitUntil(
      "the ledger runs the first key",
      async () => (await countRuns([oldUrl], runningKey)) === 1,
    );
    fleet.signal(ledger, "SIGSTOP");
    const unreadKey = createKeyForRunner(ledger, LEDGERS);
    const unread = book(fleet, ENTRIES[0], unreadKey);

    // The host list lags: it still names the suspended agent.
    await fleet.replaceHost(ledger, oldIp.replace(/\d+$/, "110"));
    ledgerUrls = [oldUrl, fleet.endpointUrlOf(ledger)];
    await fleet.waitUntilReady([ledger], 10_000);
    const startedMs = Date.now();
    await waitUntil(
      "new keys are above the floor of the replacement",
      () => Date.now() > startedMs + CLOCK_SKEW_ALLOWANCE_MS,
    );
    const newKey = createKeyForRunner(ledger, LEDGERS);
    const duringLag = book(fleet, ENTRIES[0], newKey);
    await fleet.publishHosts();

    const repeated = await waitUntil(
      "the other entry reaches the replacement",
      async () => {
        const result = await book(fleet, ENTRIES[1], newKey);
        return result.outcome === "answered_whole" ? result : undefined;
      },
    );
    const runningAgain = await book(fleet, ENTRIES[1], runningKey);
    const unreadAgain = await book(fleet, ENTRIES[1], unreadKey);
    fleet.signal(suspendedName(), "SIGCONT");

    results = await Promise.all([running, unread, duringLag]);
    resultsWhileSuspended = [repeated, runningAgain, unreadAgain];
    runs = await Promise.all(
      [runningKey, unreadKey, newKey].map((key) => countRuns(ledgerUrls, key)),
    );
  }, 25_000);

  // Guards against a second run of a key by the process that resumes late.
  test("keys run at most once", () => {
    expect(runs[0]).toBe(1);
    expect(runs[1]).toBeLessThanOrEqual(1);
    expect(runs[2]).toBe(1);
    expect(resultsWhileSuspended.map((r) => r.outcome)).toEqual([
      "answered_whole",
      "unknown",
      "unknown",
    ]);
    expect(results.map((r) => r.outcome)).not.toContain("wrong");
    expect(results.map((r) => r.outcome)).not.toContain("cut");
  });

  // Guards against "not_run" from the resumed process for a key that its
  // replacement has run meanwhile.
  test("no caller gets not_run for a key that ran", () => {
    const falseRefusals = results.filter(
      (result, index) => result.outcome === "not_run" && runs[index]! > 0,
    );
    expect(falseRefusals).toEqual([]);
  });

  // Design, section 6.5: it stops permanently once it learns of its replacement.
  test("the suspended agent stops after it resumes", async () => {
    const isStopped = () =>
      readJson<{ closed?: string }>(`http://${oldIp}:${HTTP_PORT}/status`).then(
        (status) => status.closed !== undefined,
        () => true,
      );
    await waitUntil("the suspended agent has stopped", isStopped, 10_000);
  }, 15_000);
});

describe("an entry is suspended while a data centre leaves", () => {
  const out = "kolkata";
  const [suspendedEntry, runningEntry] = [ENTRIES[1], ENTRIES[0]];
  const leaving = [...ENGINES, ...LEDGERS].filter((n) => n.includes(out));

  // A failure must not leave the data centre out for the tests that follow.
  afterAll(async () => {
    const before = await Promise.all(ENTRIES.map(readConfigVersion));
    await fleet.publish({ servingVersion: "v1", outDataCentres: [] });
    await waitUntil("the data centre is back", async () => {
      const all = await Promise.all(
        [...ENTRIES, ...leaving].map(readConfigVersion),
      );
      return all.every((version) => version > Math.max(...before));
    });
  }, 25_000);

  async function readConfigVersion(name: string): Promise<number> {
    return (await fleet.readStatus(name))?.config?.version ?? 0;
  }

  // Guards against dispatches by a configuration from before a process pause.
  test("it gets no new requests, and requests in progress complete", async () => {
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
    fleet.signal(suspendedEntry, "SIGSTOP");
    const stalled = Array.from({ length: 8 }, (_, index) =>
      sendStream(fleet, suspendedEntry, {
        prompt: `Stalled ${index}`,
        maxTokens: 5,
      }),
    );
    await fleet.publish({ servingVersion: "v1", outDataCentres: [out] });
    const outAtMs = performance.now();
    const version = await waitUntil(
      "the running entry has the new configuration",
      async () => {
        const found = await readConfigVersion(runningEntry);
        return found >= 2 && found;
      },
    );
    await fleet.setPlatform("down");

    // Constant load through the running entry while the change propagates.
    const load: Promise<CallResult>[] = [];
    await waitUntil("the deadline of the change has passed", () => {
      load.push(
        sendStream(fleet, runningEntry, {
          prompt: `Load ${load.length}`,
          maxTokens: 3,
        }),
      );
      return performance.now() > outAtMs + DISPATCH_LIMIT_MS;
    });
    const atLimit = await countAllStarted(leaving);

    fleet.signal(suspendedEntry, "SIGCONT");
    const resumedResults = await Promise.all(stalled);
    // The remaining engines are full until the load has been handled.
    const loadResults = await Promise.all(load);
    const laterResults = await Promise.all(
      Array.from({ length: 16 }, (_, index) =>
        sendStream(fleet, ENTRIES[index % 2]!, {
          prompt: `Later ${index}`,
          maxTokens: 3,
        }),
      ),
    );
    const streamResults = await Promise.all(streams);

    expect(await countAllStarted(leaving)).toBe(atLimit);
    expect(streamResults.map(describeResult)).toEqual(
      streams.map(() => "answered_whole"),
    );
    const rest = [...resumedResults, ...loadResults, ...laterResults];
    expect(
      rest.filter((r) => !["answered_whole", "not_run"].includes(r.outcome)),
    ).toEqual([]);
    expect(laterResults.map(describeResult)).toContain("answered_whole");
    expect(await readConfigVersion(suspendedEntry)).toBe(version);
  }, 25_000);
});

describe("processes shut down with long streams in progress", () => {
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

  // Guards against streams that end when the process that relays them exits.
  test("SIGTERM to an entry ends no stream early", async () => {
    const streams = await startStreams(8);
    fleet.signal(ENTRIES[0], "SIGTERM");
    await waitUntil(
      "the entry is not ready",
      async () => (await readyStatus(ENTRIES[0])) === 503,
      1_000,
    );
    const refused = await waitUntil(
      "the entry accepts no new requests",
      async () => {
        const result = await sendStream(fleet, ENTRIES[0], {
          prompt: "Too late",
          maxTokens: 2,
        });
        return result.outcome === "answered_whole" ? undefined : result;
      },
    );
    const streamResults = await Promise.all(streams);

    expect(refused.detail).toMatch(/shutting_down|ECONNREFUSED/);
    expect(streamResults.map((r) => r.outcome + r.detail)).toEqual(
      streams.map(() => "answered_whole"),
    );
    expect(await fleet.processes().get(ENTRIES[0])!.exited).toBe(0);
    fleet.startEntry(ENTRIES[0]);
    await fleet.waitUntilReady([ENTRIES[0]], 10_000);
  }, 25_000);

  // Guards against requests that reach the agent while it shuts down.
  test("SIGTERM to an agent ends no stream early", async () => {
    const stoppingAgent = ENGINES[0]!;
    const streams = await startStreams(16);
    fleet.signal(stoppingAgent, "SIGTERM");
    await waitUntil(
      "the agent is not ready",
      async () => (await readyStatus(stoppingAgent)) === 503,
      1_000,
    );
    const started = await fleet.countStarted(stoppingAgent);
    const laterResults = await Promise.all(
      Array.from({ length: 24 }, (_, index) =>
        sendStream(fleet, ENTRIES[index % 2]!, {
          prompt: `After ${index}`,
          maxTokens: 3,
        }),
      ),
    );
    const streamResults = await Promise.all(streams);

    expect(await fleet.countStarted(stoppingAgent)).toBe(started);
    expect(streamResults.map((r) => r.outcome + r.detail)).toEqual(
      streams.map(() => "answered_whole"),
    );
    expect(
      laterResults.filter(
        (r) => !["answered_whole", "not_run"].includes(r.outcome),
      ),
    ).toEqual([]);
    expect(await fleet.processes().get(stoppingAgent)!.exited).toBe(0);
    fleet.startAgent(stoppingAgent);
    await fleet.waitUntilReady([stoppingAgent], 10_000);
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

  // Guards against truncated, mixed or partly repeated answers.
  test("after SIGKILL of an agent, answers are complete or unknown", async () => {
    const killedAgent = ENGINES[1]!;
    const results = await killDuringStreams(killedAgent);
    expect(results.filter((r) => !isCompleteOrUnknown(r))).toEqual([]);
    fleet.startAgent(killedAgent);
    await fleet.waitUntilReady([killedAgent], 10_000);
    await fleet.warmUp();
  }, 25_000);

  test("after SIGKILL of an engine, answers are complete or unknown", async () => {
    const killedEngine = ENGINES[2]!;
    const results = await killDuringStreams(`endpoint-${killedEngine}`);
    expect(results.filter((r) => !isCompleteOrUnknown(r))).toEqual([]);
    await fleet.startEndpoint(killedEngine);
    await fleet.warmUp();
  }, 25_000);
});

describe("a request that crashes engines is sent repeatedly", () => {
  const prompt = `${CRASH_PROMPT} now`;

  // Guards against one client account that crashes every endpoint.
  test("at most two endpoints crash, and the request is quarantined", async () => {
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
    // The same body has another fingerprint under another account. The crash
    // prompt itself would crash further engines, so another prompt is sent.
    const otherResults = await waitUntil(
      "other requests are answered",
      async () => {
        const all = await Promise.all(
          [0, 1].map((account) =>
            sendStream(fleet, ENTRIES[account]!, {
              prompt: "An unrelated question",
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
    expect(otherResults).toHaveLength(2);
    expect((await fleet.countCrashes()) - before).toBeLessThanOrEqual(2);
  }, 25_000);

  // Guards against a quarantine that applies to other accounts. The request
  // must reach the engines, which may crash in this last test.
  test("the same prompt of another account is not quarantined", async () => {
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
