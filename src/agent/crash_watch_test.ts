import { describe, expect, test } from "@jest/globals";
import type { EndpointMonitor, EndpointStatus } from "../engine/mod.ts";
import { createQuarantine } from "../quarantine/mod.ts";
import { createCrashWatch } from "./crash_watch.ts";

function create() {
  const wallMs = () => 1_000;
  const base = { inFlight: 0, queued: 0, reportedAtMs: 2_000 };
  let status: EndpointStatus = { ...base, phase: "warm", bootId: "b1" };
  let onStatus: (status: EndpointStatus) => void = () => undefined;
  const quarantine = createQuarantine({ wallMs });
  const broken: string[] = [];
  const crashed: string[] = [];
  const watch = createCrashWatch({
    endpoint: "h1",
    monitor: {
      status: () => status,
      poll: () => Promise.resolve(),
      onStatus: (handler: typeof onStatus) => void (onStatus = handler),
    } as unknown as EndpointMonitor,
    quarantine,
    wallMs,
    onBroken: ({ fingerprint }) => void broken.push(fingerprint),
    onCrash: ({ fingerprint }) => void crashed.push(fingerprint),
  });
  function report(change: Partial<EndpointStatus>) {
    status = { ...status, ...change };
    onStatus(status);
  }
  async function run(fingerprint: string) {
    const turn = await watch.waitForTurn(fingerprint, 60_000);
    return watch.start(fingerprint, turn!);
  }
  return { watch, quarantine, broken, crashed, report, run };
}

describe("crash watch", () => {
  // Guards against blame without a crash, and against a crash without blame.
  test("blames all that ran if the boot id changed, else none", async () => {
    const { crashed, report, run } = create();
    const [a, b, c] = [await run("a"), await run("b"), await run("c")];
    a.end(true);
    b.end(true);
    c.end(false);
    report({ phase: "unknown" });
    report({ phase: "down" });
    expect(crashed).toEqual([]);
    report({ phase: "cold", bootId: "b2" });
    expect(crashed).toEqual(["a", "b"]);
    (await run("d")).end(true);
    report({ phase: "warm" });
    report({ phase: "cold", bootId: "b3" });
    expect(crashed).toHaveLength(2);
  });

  // Guards against a caller that sends the request to the next endpoint while
  // the engine restarts: four of four engines were lost that way.
  test("counts a broken connection before the crash is certain", async () => {
    const { quarantine, broken, crashed, run } = create();
    (await run("a")).end(true);
    expect(broken).toEqual(["a"]);
    expect(crashed).toEqual([]);
    expect(quarantine.isSuspect("a")).toBe(false);
    const expiresAtMs = 31_000;
    const isPreliminary = true;
    const notice = { topic: "crash", fingerprint: "a", expiresAtMs } as const;
    quarantine.accept({ ...notice, endpoint: "h2", isPreliminary });
    expect(quarantine.remainingMs("a")).toBeGreaterThan(0);
  });

  // Guards against a quarantine of requests that ran beside a suspect.
  test("a suspect is blamed alone and suspects take turns", async () => {
    const { watch, quarantine, crashed, report, run } = create();
    quarantine.record("s1", "h2");
    quarantine.record("s2", "h2");
    const [suspect, beside] = [await run("s1"), await run("x")];
    expect(await watch.waitForTurn("s2", 5)).toBeUndefined();
    const next = watch.waitForTurn("s2", 60_000);
    beside.end(true);
    suspect.end(true);
    expect(await next).toBeDefined();
    report({ bootId: "b2" });
    expect(crashed).toEqual(["s1"]);
    expect(quarantine.remainingMs("s1")).toBeGreaterThan(0);
    expect(quarantine.isSuspect("x")).toBe(false);
  });
});
