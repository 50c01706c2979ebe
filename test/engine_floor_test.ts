/**
 * An agent restarts beside a running engine while the platform is stale and no
 * peer has a newer configuration. Only the engine's fencing token shows that a
 * newer configuration was in force: it sets the floor, the lowest version that
 * the agent may apply.
 */

import { afterAll, beforeAll, describe, expect, test } from "@jest/globals";
import type { CallResult } from "../bench/call.ts";
import {
  describeResult,
  killProcess,
  setConfigAvailability,
  startProcess,
} from "./fleet_calls.ts";
import {
  FLEET_START_TIMEOUT_MS,
  readJson,
  sendStream,
  startTestFleet,
} from "./fleet_fixture.ts";
import type { TestFleet } from "./fleet_fixture.ts";
import { waitUntil } from "./wait_until.ts";

const ENTRY = "entry-kolkata-1";
const AGENT = "assistant-kolkata-1";
const ENGINE = `endpoint-${AGENT}`;
/** Configuration versions that name "v1" and "v2" of the model. */
const [OLD_VERSION, NEW_VERSION] = [1, 2];
const REFUSAL_COUNT = 20;

let fleet: TestFleet;

beforeAll(async () => {
  fleet = await startTestFleet({
    dataCentres: ["kolkata"],
    languageEndpoints: 1,
    ledgerEndpoints: 0,
    ledgerWorkMs: 0,
    // An engine with the check would refuse an outdated order and hide the fault.
    checksFencing: false,
  });
  await fleet.publish({ servingVersion: "v2", outDataCentres: [] });
  await waitUntil("the engine serves v2", async () => {
    const status = await fleet.readStatus(AGENT);
    return status?.servingDigest === fleet.plan.digestOf("v2");
  });
}, FLEET_START_TIMEOUT_MS);

afterAll(async () => {
  await fleet?.close();
}, 30_000);

function sendQuestion(): Promise<CallResult> {
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
  return waitUntil(
    "the agent has the version floor of the engine",
    async () => {
      const status = await fleet.readStatus(AGENT);
      return status?.configFloor === NEW_VERSION;
    },
  );
}

/** The platform is asked for a version above 0 and returns the old one. */
async function startBeforeEngineAnswers() {
  fleet.signal(ENGINE, "SIGSTOP");
  await setConfigAvailability(fleet, "stale");
  [ENTRY, AGENT].forEach((name) => startProcess(fleet, name));
  await waitUntil("the agent has the old version in force", async () => {
    const status = await fleet.readStatus(AGENT);
    return status?.config?.version === OLD_VERSION;
  });
  fleet.signal(ENGINE, "SIGCONT");
  await waitForFloor();
}

/** The platform is asked for a version above the old one and returns 204. */
async function startAfterEngineAnswers() {
  await setConfigAvailability(fleet, "down");
  [ENTRY, AGENT].forEach((name) => startProcess(fleet, name));
  await waitForFloor();
  await setConfigAvailability(fleet, "stale");
}

describe("an agent restarts beside a running engine", () => {
  // Guards against loading the older version and answering requests with it.
  test.each([
    ["200", startBeforeEngineAnswers],
    ["204", startAfterEngineAnswers],
  ] as const)(
    "it waits for the newer version while the platform answers %s",
    async (_, startBoth) => {
      const before = await readEngine();
      await Promise.all([ENTRY, AGENT].map((name) => killProcess(fleet, name)));
      await startBoth();
      const refusals: CallResult[] = [];
      await waitUntil("the entry reaches the agent", async () => {
        const result = await sendQuestion();
        if (result.detail === "no_endpoint") return false;
        if (result.detail.includes("ECONNREFUSED")) return false;
        if (result.detail === "no_configuration") {
          const status = await fleet.readStatus(ENTRY);
          if (status?.config === undefined) return false;
        }
        refusals.push(result);
        return refusals.length === REFUSAL_COUNT;
      });
      const status = await fleet.readStatus(AGENT);

      expect([...new Set(refusals.map(describeResult))]).toEqual([
        "not_run no_configuration",
      ]);
      expect((await fleet.readStatus(ENTRY))?.config?.version).toBe(
        OLD_VERSION,
      );
      expect(status?.config).toBeUndefined();
      expect(status?.rollout).toBe("idle");
      expect(await readEngine()).toEqual(before);

      await setConfigAvailability(fleet, "up");
      await waitUntil(
        "it serves the newer version",
        async () => (await sendQuestion()).outcome === "answered_whole",
      );
      const { digest, loads } = await readEngine();
      expect(digest).toBe(fleet.plan.digestOf("v2"));
      expect(loads).toBe(before.loads);
    },
    30_000,
  );
});
