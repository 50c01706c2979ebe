import { readFileSync } from "node:fs";
import { describe, expect, test } from "@jest/globals";
import fc from "fast-check";
import { parseDocument } from "./mod.ts";
import type { EnvironmentDocument, Finding } from "./mod.ts";

const FILE = "production.yaml";
const VALID = readFileSync("examples/aloshikha/production.yaml", "utf8");
/**
 * A published document must take effect everywhere within 5 s; parsing a
 * document of usual size may use a fifth of that.
 */
const MAX_PARSE_MS = 1_000;
const SEED = Date.now() % 2 ** 31;

function findProblems(text: string): readonly Finding[] {
  return parseDocument(text, { file: FILE }).match(
    () => [],
    (findings) => findings,
  );
}

function edit(from: string, to: string): string {
  expect(VALID).toContain(from);
  return VALID.replace(from, to);
}

describe("parseDocument", () => {
  // Guards against rejecting a valid document or reading it with wrong units.
  test("reads a valid document", () => {
    const parsed = parseDocument(VALID, { file: FILE });
    const document = parsed._unsafeUnwrap() satisfies EnvironmentDocument;
    expect(document.links.hostMbitPerS).toBe(15);
    expect(document.dataCentres[0]).toEqual({
      name: "kolkata",
      region: "kolkata",
      out: false,
    });
    const ledger = document.services.find(({ name }) => name === "ledger");
    expect(ledger).toMatchObject({
      runnerLeadS: 86_400,
      runnerSets: [{ fromMs: Date.UTC(2026, 5, 1) }],
    });
  });

  // Guards against mistakes that are not reported before publication, or that
  // are reported without their location and fix.
  test.each<readonly [string, string, string, string, RegExp]>([
    [
      "a misspelt key",
      "max_queued: 32",
      "max_queue: 32",
      "services[0].admission.max_queue",
      /Did you mean "max_queued"/,
    ],
    [
      "an unknown key",
      "deployment: a",
      "zzzzz: 1\ndeployment: a",
      "zzzzz",
      /the keys here are environment, deployment/,
    ],
    [
      "a missing key",
      "    priority: 5\n",
      "    rank: 5\n",
      "client_accounts[0].rank",
      /Remove it; the keys here are name/,
    ],
    [
      "a duplicate key",
      "  store_mbit_per_s: 30",
      "  host_mbit_per_s: 30",
      "links.host_mbit_per_s",
      /Remove one/,
    ],
    [
      "a wrong type",
      "out: false",
      'out: "no"',
      "data_centres[2].out",
      /true or false/,
    ],
    [
      "an unknown kind",
      "kind: language",
      "kind: langage",
      "services[0].kind",
      /Did you mean "language"/,
    ],
    [
      "an unknown region",
      "region: rarh",
      "region: rahr",
      "data_centres[2].region",
      /Did you mean "rarh"/,
    ],
    [
      "an unknown model",
      "model: sahayak-3b",
      "model: other",
      "services[0].model",
      /Use one of "sahayak-3b"/,
    ],
    [
      "an unknown serving version",
      "serving_version: 2026-11",
      "serving_version: 2026-10",
      "models[0].serving_version",
      /Did you mean "2026-\d\d"/,
    ],
    [
      "a duplicate name",
      "name: siliguri, region",
      "name: kolkata, region",
      "data_centres[1].name",
      /its own "name"/,
    ],
    [
      "a malformed digest",
      "digest: sha256:f",
      "digest: sha256:F",
      "models[0].versions[0].digest",
      /64 lower-case/,
    ],
    [
      "a size of zero",
      "size_bytes: 62914560",
      "size_bytes: 0",
      "models[0].versions[0].size_bytes",
      /more than 0/,
    ],
    [
      "a negative rate",
      "host_mbit_per_s: 15",
      "host_mbit_per_s: -1",
      "links.host_mbit_per_s",
      /more than 0/,
    ],
    [
      "an infinite rate",
      "host_mbit_per_s: 15",
      "host_mbit_per_s: .inf",
      "links.host_mbit_per_s",
      /./,
    ],
    [
      "cold above warm",
      "cold_concurrency: 2",
      "cold_concurrency: 17",
      "services[0].admission.cold_concurrency",
      /at most 16/,
    ],
    [
      "no runner set",
      / {4}runner_sets:\n.*\n.*\n/.exec(VALID)?.[0] ?? "",
      "",
      "services[1].routes[1].repeatable",
      /runner_sets/,
    ],
    [
      "runner sets out of order",
      "    runner_lead_s",
      '      - { from: "2026-05-31T00:00:00Z", runners: [a] }\n    runner_lead_s',
      "services[1].runner_sets[1].from",
      /rising/,
    ],
    [
      "a time without zone",
      '"2026-06-01T00:00:00Z"',
      '"2026-06-01T00:00:00"',
      "services[1].runner_sets[0].from",
      /ISO 8601/,
    ],
    [
      "a repeated runner",
      "sil-ledger-1, bar",
      "kol-ledger-1, bar",
      "services[1].runner_sets[0].runners[1]",
      /once/,
    ],
    [
      "a repeated route",
      "POST, path_prefix: /payments",
      "POST, path_prefix: /bookings",
      "services[1].routes[2]",
      /Remove one/,
    ],
  ])("reports %s", (...row) => {
    const [, from, to, path, fix] = row;
    const text = edit(from, to);
    const findings = findProblems(text);
    const finding = findings.find((item) => item.path === path);
    expect(finding?.fix).toMatch(fix);
    expect(finding?.file).toBe(FILE);
    // The finding's line is the changed one.
    const key = path.split(/[.[\]]+/).findLast((part) => /[a-z]/.test(part));
    const line = text.split("\n")[(finding?.line ?? 0) - 1] ?? "";
    expect(line).toContain(path.endsWith("]") ? line.trim() : (key ?? ""));
  });

  // Guards against reporting only the first problem, so that operators need
  // several rounds of corrections.
  test("reports schema and reference problems together, in order", () => {
    const text = edit("region: rarh", "region: rahr")
      .replace("max_queued: 32", "max_queue: 32")
      .replace("name: auditors", "name: warehouse")
      .replace("deployment: aloshikha\n", "");
    const findings = findProblems(text);
    expect(findings.map(({ path }) => path)).toEqual([
      "deployment",
      "data_centres[2].region",
      "services[0].admission.max_queue",
      "client_accounts[6].name",
    ]);
    const lines = findings.map(({ line }) => line);
    expect(lines).toEqual([...lines].sort((a, b) => a - b));
  });

  // Guards against a document with which no request would be served.
  test("reports that every data centre is out", () => {
    const text = VALID.replace("out: false", "out: true").replaceAll(
      /region: (kolkata|north-bengal) }/g,
      "region: $1, out: true }",
    );
    const findings = findProblems(text);
    expect(findings.map(({ path }) => path)).toEqual(["data_centres[0].out"]);
  });

  // Guards against text that takes unbounded time or memory to read.
  test.each([
    ["over 1 MB", `#${"x".repeat(1_000_000)}`, /1000001 bytes/],
    ["deep nesting", "[".repeat(20_000), /nested too deeply/],
    ["deep block nesting", "- ".repeat(100) + "x", /nested too deeply/],
    ["expanding aliases", expandAliases(9), /Aliases expand/],
    ["an alias of itself", "a: &a [*a]", /refers to itself/],
    ["too many values", `a: [${"1,".repeat(100_001)}]`, /More than 100000/],
    ["directives", "%A\n".repeat(10), /Directives/],
    ["two documents", "a: 1\n---\nb: 1", /multiple documents/],
    ["a custom tag", "a: !b c", /tag/i],
    ["nothing", "", /Expected a mapping/],
    ["a list", "- 1", /Expected a mapping/],
  ])("rejects %s", (_name, text, message) => {
    const startedMs = performance.now();
    const findings = findProblems(text);
    expect(findings[0]?.message).toMatch(message);
    expect(performance.now() - startedMs).toBeLessThan(5 * MAX_PARSE_MS);
  });

  // Guards against unbounded output in the terminal or in a status report.
  test("limits the number of findings", () => {
    const keys = Array.from({ length: 1_000 }, (_, i) => `k${i}: 1\n`);
    const findings = findProblems(VALID + keys.join(""));
    expect(findings.length).toBe(201);
    expect(findings.at(-1)?.message).toMatch(/left out/);
  });

  // Guards against text that makes the parser throw or hang, or that gives a
  // finding outside the text.
  test("never throws on arbitrary or mutated text", () => {
    process.stdout.write(`parseDocument property seed ${SEED}\n`);
    const position = fc.double({ min: 0, max: 1, noNaN: true });
    const piece = fc.oneof(
      fc.string({ unit: "binary" }),
      fc.constantFrom("\n", "  ", "- ", ": ", "[", "}", "&a ", "*a", "? ", "|"),
      fc.constantFrom("null", "-1", "1e999", "__proto__: 1\n", "!!set ", "%\n"),
    );
    const mutated = fc
      .array(fc.tuple(position, fc.nat(40), piece), {
        minLength: 1,
        maxLength: 5,
      })
      .map((edits) =>
        edits.reduce((text, [at, removed, added]) => {
          const start = Math.floor(at * text.length);
          return text.slice(0, start) + added + text.slice(start + removed);
        }, VALID),
      );
    fc.assert(
      fc.property(fc.oneof(fc.string({ unit: "binary" }), mutated), (text) => {
        const startedMs = performance.now();
        const findings = findProblems(text);
        expect(performance.now() - startedMs).toBeLessThan(MAX_PARSE_MS);
        const lineCount = text.split("\n").length;
        findings.forEach(({ line, column, path, message, fix }) => {
          expect(line).toBeGreaterThanOrEqual(1);
          expect(line).toBeLessThanOrEqual(lineCount);
          expect(column).toBeGreaterThanOrEqual(1);
          expect([path, message, fix].every((part) => part !== "")).toBe(true);
        });
      }),
      { seed: SEED, numRuns: 500 },
    );
  });
});

/** YAML lists, each of which contains the previous one nine times. */
function expandAliases(levels: number): string {
  const lines = Array.from({ length: levels }, (_, level) => {
    const item = level === 0 ? "x" : `*a${level - 1}`;
    return `a${level}: &a${level} [${Array(9).fill(item).join(", ")}]`;
  });
  return lines.join("\n");
}
