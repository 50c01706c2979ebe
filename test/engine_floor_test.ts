/**
 * An agent restarts beside a running engine while the platform is stale and no
 * peer knows better. Only the engine's fencing number shows that there was a
 * newer configuration.
 */

import { afterAll, beforeAll, describe, expect, test } from "@jest/globals";
import type { CallResult } from "../bench/call.ts";
import {
  describeResult,
  kill,
  setConfigService,
  start,
} from "./fleet_calls.ts";
import {
  FLEET_START_MS,
  readJson,
  sendStream,
  startTestFleet,
} from "./fleet_fixture.ts";
import type { TestFleet } from "./fleet_fixture.ts";
import { waitUntil } from "./wait_until.ts";

const ENTRY = "entry-kolkata-1";
const AGENT = "assistant-kolkata-1";
const ENGINE = `endpoint-${AGENT}`;
/** Versions of the configuration that want "v1" and "v2" of the model. */
const [OLD, NEW] = [1, 2];
const REFUSALS = 20;

let fleet: TestFleet;

beforeAll(async () => {
  fleet = await startTestFleet({
    dataCentres: ["kolkata"],
    languageEndpoints: 1,
    ledgerEndpoints: 0,
    ledgerWorkMs: 0,
    // An engine that refuses old orders would hide one.
    checksFencing: false,
  });
  await fleet.publish({ servingVersion: "v2", outDataCentres: [] });
  await waitUntil("the engine serves v2", async () => {
    const status = await fleet.readStatus(AGENT);
    return status?.servingDigest === fleet.plan.digestOf("v2");
  });
}, FLEET_START_MS);

afterAll(async () => {
  await fleet?.close();
}, 30_000);

function ask(): Promise<CallResult> {
  return sendStream(fleet, ENTRY, { prompt: "A question", maxTokens: 3 });
}

async function readEngine() {
  const url = fleet.endpointUrlOf(AGENT);
  const [state, counters] = await Promise.all([
    readJson<{ version_digest: string }>(`${url}/v1/state`),
    readJson<{ loads: number; started: number }>(`${url}/admin/counters`),
  ]);
  const { loads, started } = counters;
  return { digest: state.version_digest, loads, started };
}

function waitForFloor() {
  return waitUntil("the agent knows the engine's floor", async () => {
    const status = await fleet.readStatus(AGENT);
    return status?.configFloor === NEW;
  });
}

/** The platform is asked for versions above 0 and answers with the old one. */
async function startBeforeEngineAnswers() {
  fleet.signal(ENGINE, "SIGSTOP");
  await setConfigService(fleet, "stale");
  [ENTRY, AGENT].forEach((name) => start(fleet, name));
  await waitUntil("the agent has the old version in force", async () => {
    const status = await fleet.readStatus(AGENT);
    return status?.config?.version === OLD;
  });
  fleet.signal(ENGINE, "SIGCONT");
  await waitForFloor();
}

/** The platform is asked for versions above the old one and answers 204. */
async function startAfterEngineAnswers() {
  await setConfigService(fleet, "down");
  [ENTRY, AGENT].forEach((name) => start(fleet, name));
  await waitForFloor();
  await setConfigService(fleet, "stale");
}

describe("an agent restarts beside a running engine", () => {
  // Guards against a load of the older version, and against answers by it.
  test.each([
    ["200", startBeforeEngineAnswers],
    ["204", startAfterEngineAnswers],
  ] as const)(
    "it waits for the newer version while the platform answers %s",
    async (_, startBoth) => {
      const before = await readEngine();
      await Promise.all([ENTRY, AGENT].map((name) => kill(fleet, name)));
      await startBoth();
      const refused: CallResult[] = [];
      await waitUntil("the entry reaches the agent", async () => {
        const result = await ask();
        if (result.detail === "no_endpoint") return false;
        if (result.detail.includes("ECONNREFUSED")) return false;
        if (result.detail === "no_configuration") {
          const status = await fleet.readStatus(ENTRY);
          if (status?.config === undefined) return false;
        }
        refused.push(result);
        return refused.length === REFUSALS;
      });
      const status = await fleet.readStatus(AGENT);

      expect([...new Set(refused.map(describeResult))]).toEqual([
        "not_run no_configuration",
      ]);
      expect((await fleet.readStatus(ENTRY))?.config?.version).toBe(OLD);
      expect(status?.config).toBeUndefined();
      expect(status?.rollout).toBe("idle");
      expect(await readEngine()).toEqual(before);

      await setConfigService(fleet, "up");
      await waitUntil(
        "it serves the newer version",
        async () => (await ask()).outcome === "answered_whole",
      );
      const { digest, loads } = await readEngine();
      expect(digest).toBe(fleet.plan.digestOf("v2"));
      expect(loads).toBe(before.loads);
    },
    30_000,
  );
});
