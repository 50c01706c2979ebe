import { readFileSync } from "node:fs";
import { describe, expect, test } from "@jest/globals";
import { checkPromotion, diffDocuments, parseDocument } from "./mod.ts";
import type { CountedHost, EnvironmentDocument } from "./mod.ts";

const TEXT = readFileSync("examples/aloshikha/production.yaml", "utf8");
const NOW_MS = Date.UTC(2026, 11, 1);
const SIZE_BYTES = 62_914_560;

function read(...edits: readonly (readonly [string, string])[]) {
  const text = edits.reduce((changed, [from, to]) => {
    expect(changed).toContain(from);
    return changed.replace(from, to);
  }, TEXT);
  return parseDocument(text, { file: "x.yaml" })._unsafeUnwrap();
}

function diff(after: EnvironmentDocument, hosts?: readonly CountedHost[]) {
  return diffDocuments(read(), after, { nowMs: NOW_MS, hosts });
}

function addRunnerSet(from: string) {
  return read([
    "    runner_lead_s",
    `      - { from: "${from}", runners: [a, b] }\n    runner_lead_s`,
  ]);
}

describe("diffDocuments", () => {
  // Guards against changes that an operator publishes without having seen.
  test.each<readonly [string, string, string]>([
    [
      "out: false",
      "out: true",
      "data centre bardhaman leaves: it receives no new work",
    ],
    [
      "host_mbit_per_s: 15",
      "host_mbit_per_s: 20",
      "links: host_mbit_per_s 15 -> 20",
    ],
    [
      "warm_concurrency: 16",
      "warm_concurrency: 8",
      "service assistant: warm_concurrency 16 -> 8",
    ],
    ["max_keys: 100000", "max_keys: 5", "service ledger: max_keys 100000 -> 5"],
    [
      "GET, path_prefix: /bookings, repeatable: true",
      "GET, path_prefix: /bookings, repeatable: false",
      "service ledger: route GET /bookings: repeatable true -> false",
    ],
    [
      "requests_per_s: 40",
      "requests_per_s: 41",
      "client account member-app: requests_per_s 40 -> 41",
    ],
    ["- name: auditors", "- name: audit", "client account auditors is removed"],
    ["name: portal", "name: gate", "service portal (plain) is removed"],
  ])("reports the change from %s to %s", (from, to, change) => {
    expect(diff(read([from, to])).changes).toContain(change);
  });

  // Guards against reporting changes where there are none.
  test("reports nothing between equal documents", () => {
    expect(diff(read())).toEqual({
      changes: [],
      moves: [],
      drops: [],
      issues: [],
    });
  });

  // Guards against a burst of weights whose size nobody has estimated.
  test("counts the bytes that a serving version moves", () => {
    const host = { role: "endpoint", service: "assistant", state: "live" };
    const hosts = [
      { ...host, dataCentre: "kolkata" },
      { ...host, dataCentre: "kolkata" },
      { ...host, dataCentre: "kolkata", state: "leaving" },
      { ...host, dataCentre: "siliguri", service: "ledger" },
    ] as readonly CountedHost[];
    const after = read([
      "serving_version: 2026-11",
      "serving_version: 2026-09",
    ]);
    const { moves, drops } = diff(after, hosts);
    expect(moves).toHaveLength(1);
    expect(moves[0]).toMatchObject({
      service: "assistant",
      version: "2026-09",
    });
    expect(moves[0]?.minimumS).toBeCloseTo((SIZE_BYTES * 8) / 15e6);
    expect(moves[0]?.into).toEqual([
      { dataCentre: "kolkata", endpoints: 2, bytes: 2 * SIZE_BYTES },
      { dataCentre: "siliguri", endpoints: 0, bytes: 0 },
      { dataCentre: "bardhaman", endpoints: 0, bytes: 0 },
    ]);
    expect(drops).toEqual([
      { service: "assistant", model: "sahayak-3b", version: "2026-11" },
    ]);
  });

  // Guards against a key that runs on two hosts because its runner moved.
  test.each<readonly [string, EnvironmentDocument, string[]]>([
    [
      "a changed past set",
      read(["kol-ledger-1, sil", "kol-ledger-2, sil"]),
      ["services.1.runner_sets.0.runners"],
    ],
    [
      "a moved past set",
      read(["2026-06-01T", "2026-06-02T"]),
      ["services.1.runner_sets.0.from", "services.1.runner_sets"],
    ],
    [
      "a new set too soon",
      addRunnerSet("2026-12-01T23:59:00Z"),
      ["services.1.runner_sets.1.from"],
    ],
    ["a new set in time", addRunnerSet("2026-12-02T00:00:00Z"), []],
    [
      "runners in another order",
      read(["kol-ledger-1, sil-ledger-1", "sil-ledger-1, kol-ledger-1"]),
      [],
    ],
  ])("checks %s", (_name, after, paths) => {
    const { issues } = diff(after);
    expect(issues.map(({ path }) => path.join("."))).toEqual(paths);
  });
});

describe("checkPromotion", () => {
  // Guards against production getting what was never tried.
  test.each<readonly [string, string, string]>([
    [
      "serving_version: 2026-11",
      "serving_version: 2026-09",
      "models.0.serving_version",
    ],
    ["name: 2026-09", "name: 2026-08", "models.0.versions.0"],
    ["digest: sha256:f", "digest: sha256:e", "models.0.versions.0.digest"],
    ["name: portal", "name: gate", "services.2"],
    ["path_prefix: /payments", "path_prefix: /pay", "services.1.routes.2"],
    [
      "/bookings, repeatable: true",
      "/bookings, repeatable: false",
      "services.1.routes.0.repeatable",
    ],
    ["runner_lead_s: 86400", "runner_lead_s: 10", "services.1.runner_lead_s"],
    ["deployment: aloshikha", "deployment: gyeonggi", "deployment"],
  ])("finds the change from %s to %s", (from, to, path) => {
    const issues = checkPromotion(read(), read([from, to]));
    expect(issues.map((issue) => issue.path.join("."))).toContain(path);
  });

  // Guards against findings on what an environment is free to choose.
  test.each(["aloshikha", "gyeonggi"])("passes the example %s", (name) => {
    const [trial, production] = ["trial", "production"].map((file) =>
      parseDocument(readFileSync(`examples/${name}/${file}.yaml`, "utf8"), {
        file,
      })._unsafeUnwrap(),
    );
    expect(checkPromotion(trial!, production!)).toEqual([]);
  });
});
