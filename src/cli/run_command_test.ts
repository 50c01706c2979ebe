import { readFile } from "node:fs/promises";
import { describe, expect, test } from "@jest/globals";
import type { StatusReport } from "../status/mod.ts";
import { readVersion, runCommand } from "./mod.ts";

const PRODUCTION = "examples/aloshikha/production.yaml";
const TRIAL = "examples/aloshikha/trial.yaml";
const DIGEST = `sha256:${"a".repeat(64)}`;
const OTHER_DIGEST = `sha256:${"b".repeat(64)}`;

interface Inputs {
  readonly files?: Readonly<Record<string, string>>;
  readonly urls?: Readonly<Record<string, unknown>>;
}

async function run(args: readonly string[], { files, urls }: Inputs = {}) {
  const written = { out: "", error: "" };
  const code = await runCommand(args, {
    write: (text) => void (written.out += text),
    writeError: (text) => void (written.error += text),
    readFile: async (file) => files?.[file] ?? (await readFile(file, "utf8")),
    writeFile: () => Promise.resolve(),
    fetchJson: async (url) => {
      if (urls?.[url] === undefined) throw new Error("connection refused");
      return urls[url];
    },
    nowMs: () => Date.UTC(2026, 11, 1),
  });
  return { code, ...written };
}

function createReport(changes: Partial<StatusReport>): StatusReport {
  return {
    host: "kol-lang-1",
    incarnation: "01936e2c-0000-7000-8000-000000000000",
    role: "agent",
    dataCentre: "kolkata",
    service: "assistant",
    config: { version: 7, confirmedAgeMs: 100 },
    phase: "warm",
    servingDigest: DIGEST,
    transfers: [],
    inFlight: 1,
    ...changes,
  };
}

const TRANSFER = {
  manifestDigest: DIGEST,
  bytesHeld: 25_000_000,
  sizeBytes: 100_000_000,
  chunksHeld: 1,
  chunkCount: 4,
  bytesPerS: 1_000_000,
};
const URLS = {
  "http://127.0.0.1:1/status": createReport({
    transfers: [{ ...TRANSFER, bytesHeld: 100_000_000, bytesPerS: 0 }],
  }),
  "http://127.0.0.1:2/status": createReport({
    host: "kol-lang-2",
    config: { version: 6, confirmedAgeMs: 9_000, dataCentresOut: ["kolkata"] },
    phase: "loading",
    servingDigest: undefined as never,
    transfers: [TRANSFER],
    rollout: "transferring",
  }),
  "http://127.0.0.1:3/status": { not: "a status" },
};

describe("runCommand", () => {
  // Guards against exit codes that let scripts treat a failure as a success.
  test.each<readonly [string, readonly string[], number]>([
    ["a valid document", ["check", PRODUCTION, TRIAL], 0],
    ["a missing file", ["check", "none.yaml"], 1],
    ["an equal document", ["diff", PRODUCTION, PRODUCTION], 0],
    ["a good promotion", ["promote", TRIAL, PRODUCTION], 0],
    ["the version", ["--version"], 0],
    ["help", ["--help"], 0],
    ["help on a command", ["diff", "--help"], 0],
    ["no command", [], 2],
    ["an unknown command", ["chek"], 2],
    ["no file", ["check"], 2],
    ["too many files", ["promote", "a", "b", "c"], 2],
    ["an unknown option", ["check", "--fast", PRODUCTION], 2],
    ["no address", ["status"], 2],
    ["a malformed address", ["status", "localhost:1"], 2],
  ])("returns the exit code for %s", async (_name, args, code) => {
    expect((await run(args)).code).toBe(code);
  });

  // Guards against a --version that differs from package.json.
  test("prints the version of the package", async () => {
    const text = await readFile("package.json", "utf8");
    const { version } = JSON.parse(text) as { version: string };
    expect(readVersion()).toBe(version);
    expect((await run(["--version"])).out).toBe(`${version}\n`);
  });

  // Guards against findings without a file, line and column that editors can
  // open.
  test("prints findings of all files with their location", async () => {
    const files = { "a.yaml": "regions: 1", "b.yaml": "[" };
    const { code, out } = await run(["check", "a.yaml", "b.yaml"], { files });
    expect(code).toBe(1);
    expect(out).toMatch(/^a\.yaml:1:10: regions: .* Fix: /m);
    expect(out).toMatch(/^b\.yaml:1:\d+: /m);
    expect(out).toMatch(/\d+ findings\n$/);
  });

  // Guards against a diff that omits weight transfers or changed runners.
  test("prints transfers by data centre and findings on runner sets", async () => {
    const text = await readFile(PRODUCTION, "utf8");
    const files = {
      "new.yaml": text
        .replace("serving_version: 2026-11", "serving_version: 2026-09")
        .replace("sil-ledger-1, ", ""),
      "hosts.json": JSON.stringify({
        sequence: 1,
        hosts: [1, 2].map((n) => ({
          name: `kol-lang-${n}`,
          role: "endpoint",
          service: "assistant",
          data_centre: "kolkata",
          peer_address: `127.0.0.1:${n}`,
          state: "live",
        })),
      }),
    };
    const { code, out } = await run(
      ["diff", PRODUCTION, "new.yaml", "--hosts", "hosts.json"],
      { files },
    );
    expect(code).toBe(1);
    expect(out).toContain(
      "kolkata: 120.0 MiB (125829120 bytes) to 2 endpoints",
    );
    expect(out).toContain("siliguri: no endpoints");
    expect(out).toMatch(/new\.yaml:\d+:\d+: services\[1\]\.runner_sets\[0\]/);
  });

  // Guards against showing the remaining time of the transfer as the time until
  // all endpoints serve the version.
  test("reports the transfer and the roll-out separately", async () => {
    const whole = { ...TRANSFER, bytesHeld: TRANSFER.sizeBytes, bytesPerS: 0 };
    const report = { servingDigest: OTHER_DIGEST, transfers: [whole] };
    const urls = {
      "http://127.0.0.1:1/status": createReport({ transfers: [whole] }),
      "http://127.0.0.1:2/status": createReport({
        ...report,
        rollout: "waiting",
      }),
      "http://127.0.0.1:3/status": createReport({
        ...report,
        phase: "loading",
        rollout: "loading",
      }),
    };
    const addresses = [1, 2, 3].map((n) => `127.0.0.1:${n}`);
    const { out } = await run(["status", ...addresses], { urls });
    expect(out).toMatch(
      /1 of 3 serve, .* \(100%\), transfer done, roll-out not done \(1 loading, 1 waiting\)/,
    );
    expect(out).not.toContain("done in about");
  });

  // Guards against a status that omits unreachable processes.
  test("prints status and names unreachable processes", async () => {
    const addresses = [1, 2, 3, 4].map((n) => `127.0.0.1:${n}`);
    const { code, out } = await run(["status", ...addresses], { urls: URLS });
    expect(code).toBe(1);
    expect(out).toContain("config version 7: 1 of 2 processes lag");
    expect(out).toContain("data centre kolkata (out)");
    expect(out).toContain("endpoints: 1 loading, 1 warm");
    expect(out).toMatch(
      /1 of 2 serve, .* held \(62%\), transfer done in about 75 s, roll-out not done \(1 transferring\)/,
    );
    expect(out).toContain("127.0.0.1:3: The response is not a status report");
    expect(out).toContain("127.0.0.1:4: connection refused");
  });

  // Guards against --platform reading no hosts or ignoring the document.
  test("reads addresses and the document from the platform", async () => {
    const platform = "http://127.0.0.1:9";
    const value = (await readFile(PRODUCTION, "utf8"))
      .replace("out: false", "out: true")
      .replace(/sha256:c\w+/, DIGEST);
    const host = { role: "endpoint", data_centre: "kolkata", state: "live" };
    const urls = {
      ...URLS,
      [`${platform}/v1/config?after=0&wait_ms=0`]: { version: 8, value },
      [`${platform}/v1/hosts?after=0&wait_ms=0`]: {
        sequence: 1,
        hosts: [
          { ...host, name: "kol-lang-1", http_address: "127.0.0.1:1" },
          { ...host, name: "kol-lang-9" },
        ],
      },
    };
    const args = ["status", "--platform", `${platform}/`];
    const { code, out } = await run(args, { urls });
    expect(code).toBe(0);
    expect(out).toContain("config version 8 (published): 1 of 1 processes lag");
    expect(out).toContain("data centre bardhaman (out)");
    expect(out).toContain("sahayak-3b 2026-11 (sha256:aaaaaaaaaaaa): 1 of 1");
    expect(out).toContain("no HTTP address in the host list: kol-lang-9");
    const json = JSON.parse((await run([...args, "--json"], { urls })).out);
    expect(json).toMatchObject({
      publishedVersion: 8,
      newestVersion: 8,
      oldestVersion: 7,
      unreachable: [],
      reports: [{ host: "kol-lang-1" }],
    });
  });

  // Guards against an operator who believes that an invalid document is in
  // force.
  test("prints why a document was rejected", async () => {
    const finding = {
      file: "f",
      line: 1,
      column: 2,
      path: "p",
      message: "m",
      fix: "x",
    };
    const urls = {
      "http://127.0.0.1:1/status": createReport({
        rejected: { version: 8, findings: [finding] },
      }),
    };
    const { code, out } = await run(["status", "127.0.0.1:1"], { urls });
    expect(code).toBe(1);
    expect(out).toContain("config version 8 is rejected by kol-lang-1");
    expect(out).toContain("f:1:2: p: m. Fix: x");
  });
});
