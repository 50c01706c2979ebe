import { describe, expect, test } from "@jest/globals";
import type { EndpointMonitor, EndpointStatus } from "../engine/mod.ts";
import { createQuarantine } from "../quarantine/mod.ts";
import { createCrashDetector } from "./crash_detector.ts";

function createTestDetector() {
  const wallMs = () => 1_000;
  const base = { inFlight: 0, queued: 0, reportedAtMs: 2_000 };
  let status: EndpointStatus = { ...base, phase: "warm", bootId: "b1" };
  let onStatus: (status: EndpointStatus) => void = () => undefined;
  const quarantine = createQuarantine({ wallMs });
  const broken: string[] = [];
  const crashed: string[] = [];
  const detector = createCrashDetector({
    endpoint: "h1",
    monitor: {
      status: () => status,
      poll: () => Promise.resolve(),
      onStatus: (handler: typeof onStatus) => void (onStatus = handler),
    } as unknown as EndpointMonitor,
    quarantine,
    wallMs,
    onConnectionLost: ({ fingerprint }) => void broken.push(fingerprint),
    onCrash: ({ fingerprint }) => void crashed.push(fingerprint),
  });
  function reportStatus(change: Partial<EndpointStatus>) {
    status = { ...status, ...change };
    onStatus(status);
  }
  async function startRequest(fingerprint: string) {
    const permit = await detector.waitForPermit(fingerprint, 60_000);
    return detector.trackRequest(fingerprint, permit!);
  }
  return { detector, quarantine, broken, crashed, reportStatus, startRequest };
}

describe("crash detector", () => {
  // Guards against recording requests without a crash, and against a crash for
  // which no request is recorded.
  test("records all requests with a lost connection only if the boot id changed", async () => {
    const { crashed, reportStatus, startRequest } = createTestDetector();
    const [a, b, c] = [
      await startRequest("a"),
      await startRequest("b"),
      await startRequest("c"),
    ];
    a.finish(true);
    b.finish(true);
    c.finish(false);
    reportStatus({ phase: "unknown" });
    reportStatus({ phase: "down" });
    expect(crashed).toEqual([]);
    reportStatus({ phase: "cold", bootId: "b2" });
    expect(crashed).toEqual(["a", "b"]);
    (await startRequest("d")).finish(true);
    reportStatus({ phase: "warm" });
    reportStatus({ phase: "cold", bootId: "b3" });
    expect(crashed).toHaveLength(2);
  });

  // A caller can send the request to the next endpoint while the first engine
  // is still restarting. Without the preliminary record, four of four engines
  // crashed that way.
  test("counts a lost connection before the crash is confirmed", async () => {
    const { quarantine, broken, crashed, startRequest } = createTestDetector();
    (await startRequest("a")).finish(true);
    expect(broken).toEqual(["a"]);
    expect(crashed).toEqual([]);
    expect(quarantine.isSuspect("a")).toBe(false);
    const expiresAtMs = 31_000;
    const isPreliminary = true;
    const notice = { topic: "crash", fingerprint: "a", expiresAtMs } as const;
    quarantine.applyNotice({ ...notice, endpoint: "h2", isPreliminary });
    expect(quarantine.remainingMs("a")).toBeGreaterThan(0);
  });

  // Guards against quarantining requests that ran concurrently with a suspect.
  test("only the suspect is recorded, and suspects start one at a time", async () => {
    const { detector, quarantine, crashed, reportStatus, startRequest } =
      createTestDetector();
    quarantine.recordCrash("s1", "h2");
    quarantine.recordCrash("s2", "h2");
    const [suspect, concurrent] = [
      await startRequest("s1"),
      await startRequest("x"),
    ];
    expect(await detector.waitForPermit("s2", 5)).toBeUndefined();
    const next = detector.waitForPermit("s2", 60_000);
    concurrent.finish(true);
    suspect.finish(true);
    expect(await next).toBeDefined();
    reportStatus({ bootId: "b2" });
    expect(crashed).toEqual(["s1"]);
    expect(quarantine.remainingMs("s1")).toBeGreaterThan(0);
    expect(quarantine.isSuspect("x")).toBe(false);
  });
});
