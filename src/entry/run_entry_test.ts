import { describe, expect, test } from "@jest/globals";
import { err, ok } from "neverthrow";
import { runEntry } from "./mod.ts";
import type { EntrySettings, RunEntryOptions } from "./mod.ts";

const SETTINGS: EntrySettings = {
  httpAddress: "127.0.0.1:0",
  maxBodyBytes: 1,
  bodyTimeoutMs: 1,
  requestTimeoutMs: 1,
  drainNoticeMs: 1,
};

const FINDING = {
  file: "entry.yaml",
  line: 2,
  column: 1,
  path: "max_body_bytes",
  message: "Expected a number",
  fix: "set max_body_bytes to a number",
};

type Settings = Awaited<
  ReturnType<RunEntryOptions<EntrySettings>["loadSettings"]>
>;

async function run(args: readonly string[], settings: Settings) {
  const lines: string[] = [];
  const code = await runEntry({
    args,
    version: "9.9.9",
    loadSettings: async () => settings,
    startNode: () => Promise.reject(new Error("not reached")),
    readHost: () => "entry-1",
    print: (line) => lines.push(`out: ${line}`),
    printError: (line) => lines.push(`error: ${line}`),
    waitForSignal: () => Promise.resolve("SIGTERM"),
  });
  return { code, lines };
}

describe("zinniaspur-entry", () => {
  // Guards against a start with settings that an operator got wrong.
  test.each([
    { args: ["--settings", "entry.yaml"] },
    { args: ["--settings", "entry.yaml", "--check"] },
  ])("reports findings with place and fix: $args", async ({ args }) => {
    expect(await run(args, err([FINDING]))).toEqual({
      code: 1,
      lines: [
        "error: entry.yaml:2:1: max_body_bytes: Expected a number. " +
          "Fix: set max_body_bytes to a number",
      ],
    });
  });

  // Guards against scripts that take a usage error for a finding.
  test.each([
    { args: [], code: 2, line: "--settings" },
    { args: ["--settings", "f", "--unknown"], code: 2, line: "--unknown" },
    { args: ["--version"], code: 0, line: "out: 9.9.9" },
    { args: ["--help"], code: 0, line: "Usage: zinniaspur-entry" },
    { args: ["--settings", "f", "--check"], code: 0, line: "f: no findings" },
  ])("exits with $code for $args", async ({ args, code, line }) => {
    const result = await run(args, ok(SETTINGS));
    expect(result.code).toBe(code);
    expect(result.lines.join("\n")).toContain(line);
  });
});
