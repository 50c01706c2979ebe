/**
 * Shows that the tests of the guarantees test something: takes away one
 * mechanism at a time in a copy of the sources and runs the test that must
 * fail then. Exit 0 if each of them failed without its mechanism and passed
 * with it. With an argument, only mechanisms whose name contains it are tried.
 */

import { spawnSync } from "node:child_process";
import {
  cpSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  symlinkSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { MECHANISMS } from "./mechanisms.ts";
import type { Mechanism } from "./mechanisms.ts";

const TEST_LIMIT_MS = 120_000;
/** These tests may first wait for their turn to start a fleet. */
const PROCESS_TEST_LIMIT_MS = 400_000;
const PROCESS_TESTS = "test/";
const COPIED = ["src", "bin", "stand_ins", "bench", "test", "examples", "docs"];
const COPIED_FILES = [
  "package.json",
  "jest.config.js",
  "tsconfig.json",
  "tsconfig.build.json",
];

type Verdict = "passed" | "failed" | "not_found" | "no_result";

function createCopy(): string {
  const folder = mkdtempSync(join(tmpdir(), "zinniaspur-prove-"));
  COPIED.forEach((name) =>
    cpSync(name, join(folder, name), { recursive: true }),
  );
  COPIED_FILES.forEach((name) => cpSync(name, join(folder, name)));
  symlinkSync(
    join(process.cwd(), "node_modules"),
    join(folder, "node_modules"),
  );
  return folder;
}

/** Tests with real processes run the compiled programs. */
function build(folder: string) {
  const compiler = join(folder, "node_modules", "typescript", "bin", "tsc");
  const args = [compiler, "-p", "tsconfig.build.json"];
  spawnSync(process.execPath, args, { cwd: folder });
}

function runTest(folder: string, { testFile, test }: Mechanism): Verdict {
  const isProcessTest = testFile.startsWith(PROCESS_TESTS);
  if (isProcessTest) build(folder);
  const args = [
    "--experimental-vm-modules",
    join(folder, "node_modules", "jest", "bin", "jest.js"),
    "--rootDir",
    folder,
    testFile,
    ...(test === "" ? [] : ["--testNamePattern", test]),
    "--json",
  ];
  const run = spawnSync(process.execPath, args, {
    cwd: folder,
    encoding: "utf8",
    timeout: isProcessTest ? PROCESS_TEST_LIMIT_MS : TEST_LIMIT_MS,
    maxBuffer: 64 * 1024 * 1024,
  });
  const start = run.stdout.indexOf('{"num');
  // A run that was ended or did not start shows nothing.
  if (start < 0) return "no_result";
  const result = JSON.parse(run.stdout.slice(start)) as {
    numPassedTests: number;
    numFailedTests: number;
    numRuntimeErrorTestSuites: number;
  };
  if (result.numFailedTests + result.numRuntimeErrorTestSuites > 0) {
    return "failed";
  }
  return result.numPassedTests === 0 ? "not_found" : "passed";
}

function prove(folder: string, mechanism: Mechanism): boolean {
  const { guarantee, name, file, find, replace } = mechanism;
  const path = join(folder, file);
  const source = readFileSync(path, "utf8");
  if (!source.includes(find)) {
    console.log(`${guarantee}. ${name}: ${file} has changed`);
    return false;
  }
  const before = runTest(folder, mechanism);
  writeFileSync(
    path,
    source.replace(find, () => replace),
  );
  const without = runTest(folder, mechanism);
  writeFileSync(path, source);
  const isProved = before === "passed" && without === "failed";
  console.log(
    `${guarantee}. ${name}: with it ${before}, without it ${without}` +
      (isProved ? "" : "  <-- not proved"),
  );
  return isProved;
}

const folder = createCopy();
try {
  const [part = ""] = process.argv.slice(2);
  const results = MECHANISMS.filter(({ name }) => name.includes(part)).map(
    (mechanism) => prove(folder, mechanism),
  );
  const proved = results.filter((isProved) => isProved).length;
  console.log(`${proved} of ${results.length} proved`);
  process.exitCode = proved === results.length ? 0 : 1;
} finally {
  rmSync(folder, { recursive: true, force: true });
}
