import { readFileSync } from "node:fs";
import { describe, expect, test } from "@jest/globals";
import { checkPromotion, diffDocuments, parseDocument } from "./mod.ts";
import type { HostPlacement, EnvironmentDocument } from "./mod.ts";

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

function diff(after: EnvironmentDocument, hosts?: readonly HostPlacement[]) {
  return diffDocuments(read(), after, { nowMs: NOW_MS, hosts });
}

function addRunnerSet(from: string) {
  return read([
    "    runner_lead_s",
    `      - { from: "${from}", runners: [a, b] }\n    runner_lead_s`,
  ]);
}

describe("diffDocuments", () => {
  // Guards against changes that the diff doesn't show to the operator.
  test.each<readonly [string, string, string]>([
    [
      "out: false",
      "out: true",
      "data centre bardhaman is taken out: it receives no new work",
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

  // Guards against changes reported between equal documents.
  test("reports nothing between equal documents", () => {
    expect(diff(read())).toEqual({
      changes: [],
      transfers: [],
      drops: [],
      issues: [],
    });
  });

  // Guards against a diff that misstates how many bytes endpoints will load.
  test("counts the bytes that endpoints load for a new serving version", () => {
    const host = { role: "endpoint", service: "assistant", state: "live" };
    const hosts = [
      { ...host, dataCentre: "kolkata" },
      { ...host, dataCentre: "kolkata" },
      { ...host, dataCentre: "kolkata", state: "leaving" },
      { ...host, dataCentre: "siliguri", service: "ledger" },
    ] as readonly HostPlacement[];
    const after = read([
      "serving_version: 2026-11",
      "serving_version: 2026-09",
    ]);
    const { transfers, drops } = diff(after, hosts);
    expect(transfers).toHaveLength(1);
    expect(transfers[0]).toMatchObject({
      service: "assistant",
      version: "2026-09",
    });
    expect(transfers[0]?.minDurationS).toBeCloseTo((SIZE_BYTES * 8) / 15e6);
    expect(transfers[0]?.byDataCentre).toEqual([
      { dataCentre: "kolkata", endpoints: 2, bytes: 2 * SIZE_BYTES },
      { dataCentre: "siliguri", endpoints: 0, bytes: 0 },
      { dataCentre: "bardhaman", endpoints: 0, bytes: 0 },
    ]);
    expect(drops).toEqual([
      { service: "assistant", model: "sahayak-3b", version: "2026-11" },
    ]);
  });

  // Guards against a non-repeatable call that runs twice because its service was
  // removed and added again with other runners.
  test("a service that is added with a past runner set is an issue", () => {
    const without = read(["name: ledger", "name: ledger-before"]);
    const { issues } = diffDocuments(without, read(), { nowMs: NOW_MS });
    expect(issues.map(({ path }) => path.join("."))).toEqual([
      "services.1.runner_sets.0.from",
    ]);
  });

  // Guards against a non-repeatable call that runs on two hosts because the
  // runner of its key was changed.
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
      "a new set that begins too soon",
      addRunnerSet("2026-12-01T23:59:00Z"),
      ["services.1.runner_sets.1.from"],
    ],
    [
      "a new set that begins late enough",
      addRunnerSet("2026-12-02T00:00:00Z"),
      [],
    ],
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
  // Guards against publishing in production what the trial never ran.
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

  // Guards against findings on settings that may differ between environments.
  test.each(["aloshikha", "gyeonggi"])("passes the example %s", (name) => {
    const [trial, production] = ["trial", "production"].map((file) =>
      parseDocument(readFileSync(`examples/${name}/${file}.yaml`, "utf8"), {
        file,
      })._unsafeUnwrap(),
    );
    expect(checkPromotion(trial!, production!)).toEqual([]);
  });
});
