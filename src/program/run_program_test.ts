import { describe, expect, jest, test } from "@jest/globals";
import { err, ok } from "neverthrow";
import { runProgram } from "./mod.ts";

const FINDING = {
  file: "bad",
  line: 1,
  column: 1,
  path: "p",
  message: "m",
  fix: "x",
};

function run(args: readonly string[], ending: Promise<string>) {
  const start = jest.fn(() =>
    Promise.resolve({
      stopped: ending,
      shutDown: () => Promise.resolve(),
    }),
  );
  const exitCode = runProgram(args, {
    name: "program",
    description: "A program",
    loadSettings: (file) =>
      Promise.resolve(file === "good" ? ok({}) : err([FINDING])),
    start,
  });
  return { exitCode, start };
}

describe("runProgram", () => {
  const never = new Promise<string>(() => undefined);
  const good = ["--settings", "good"];
  const bad = ["--settings", "bad"];
  const cases = [
    { args: ["--help"], code: 0 },
    { args: ["--version"], code: 0 },
    { args: [...good, "--check"], code: 0 },
    { args: [...bad, "--check"], code: 1 },
    { args: bad, code: 1 },
    { args: [], code: 2 },
    { args: [...good, "--unknown"], code: 2 },
  ];
  // Guards against exit codes that scripts cannot rely on.
  test.each(cases)("$args exits with $code", async ({ args, code }) => {
    const { exitCode, start } = run(args, never);
    expect(await exitCode).toBe(code);
    expect(start).not.toHaveBeenCalled();
  });

  // Guards against a SIGTERM that does not end the process.
  test("ends with 0 after SIGTERM", async () => {
    const { exitCode, start } = run(good, never);
    setImmediate(() => process.emit("SIGTERM"));
    expect(await exitCode).toBe(0);
    expect(start).toHaveBeenCalledTimes(1);
  });

  // Guards against a supervisor taking a superseded process for a clean exit.
  test("ends with 1 when the program must stop by itself", async () => {
    const { exitCode } = run(good, Promise.resolve("superseded"));
    expect(await exitCode).toBe(1);
  });
});
